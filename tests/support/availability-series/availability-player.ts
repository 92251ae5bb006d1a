/**
 * Plays series in which lasting tasks are moved about while owners and workers fail.
 */
import { disruptionBudgetViolations } from '../../../stand-ins/emulator/disruption-budget-violations.js'
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from '../emulated-fleet.js'
import { DisturbedFleet } from '../lease-series/disturbed-fleet.js'
import { LogTrace } from '../restart-series/log-trace.js'
import type { AvailabilityPlan } from './availability-plan.js'

/** Time in which the processes have started, in milliseconds. */
const START_MILLISECONDS = 2_000

/** Length of a series, in milliseconds. */
const SERIES_MILLISECONDS = 32_000

/** Time for which a task has to be away, whatever the cause, to count against the budget, in milliseconds. */
const NOTICE_MILLISECONDS = 4_500

/** Time for which a disturbance may have effects, in milliseconds. */
const CONTACT_MILLISECONDS = 3_000

/** Time before the expiry of a lease in which nothing may have been disturbed for it to count as an action of the system, in milliseconds. */
const CALM_MILLISECONDS = 9_000

/** Time in which a wave is to be over, in seconds. */
const DURATION_OF_WAVES_SECONDS = 25

/** What a series showed. */
interface AvailabilityResult {
  /** Ends of lasting tasks that the budgets forbid, each with the log lines about the task. */
  readonly findings: { readonly violation: string, readonly trace: string[] }[]
  /** Other forbidden runs. */
  readonly forbiddenRuns: string[]
  readonly orders: number
  readonly stops: number
  readonly lapses: number
}

/** A fleet that follows a plan. */
export class AvailabilityPlayer {
  private readonly _startedAt: number
  private readonly _disturbances: { readonly from: number, until: number }[] = []
  /** Cuts of workers, by their address. */
  private readonly _cuts: { readonly address: string, readonly from: number, readonly until: number }[] = []
  private readonly _acceptedAt = new Map<string, number>()
  private readonly _cancelledAt = new Map<string, number>()

  private constructor (private readonly _plan: AvailabilityPlan, private readonly _disturbed: DisturbedFleet, private readonly _trace: LogTrace) {
    this._startedAt = _disturbed.now
  }

  /** Plays a plan. */
  static async play (plan: AvailabilityPlan): Promise<AvailabilityResult> {
    const fleet = new EmulatedFleet(plan.seed, plan.maximumLeaseMilliseconds)
    const trace = new LogTrace(fleet)
    Object.assign(fleet.emulator.faults, { warmUpMilliseconds: plan.warmUpMilliseconds, stopMilliseconds: plan.stopMilliseconds })
    for (const { pool, rack, clockRate } of plan.workers) Object.assign(fleet.emulator.addVirtualMachine(pool, 'a', rack) ?? {}, { clockRate })
    for (let count = 0; count < plan.standbyMachines; count++) fleet.emulator.addVirtualMachine('standby', 'a', 'r5')
    const route = { name: 'others', host: 'fleet.example', path_prefix: '/o/', service: 'other', target_latency_ms: 600, priority: 0, max_attempts: 3, stretch: 1.6 }
    fleet.configure({ services: [{ name: 'other', rejects_overload: true }], routes: [route] })
    for (const name of plan.processes) fleet.start(name)
    await fleet.clock.advance(START_MILLISECONDS)
    const player = new AvailabilityPlayer(plan, DisturbedFleet.around(fleet, plan.processes), trace)
    player._schedule()
    await player._disturbed.playUntil(player._startedAt + SERIES_MILLISECONDS)
    return player._result()
  }

  private _schedule (): void {
    const { lastingJobs, shortJobs, waves, owners, stalls, hiccups, outages, failures } = this._plan
    for (const [index, job] of lastingJobs.entries()) this._scheduleLastingJob(`d${String(index).padStart(3, '0')}`, job)
    for (const [index, job] of shortJobs.entries()) this._at(job.at, () => this._submitShortJob(`e${String(index).padStart(3, '0')}`, job))
    for (const [index, wave] of waves.entries()) this._at(wave.at, () => this._publishWave(index + 1, wave))
    for (const { kind, at, until } of owners) {
      this._at(at, () => {
        this._disturb(until)
        const owner = this._disturbed.fleet.owner()
        if (owner !== '' && this._disturbed.fleet.nodes.size > 1) kind.begin(this._disturbed, owner, this._startedAt + until)
      })
    }
    for (const stall of stalls) this._at(stall.at, () => this._stall(stall))
    for (const hiccup of hiccups) this._at(hiccup.at, () => this._beginHiccup(hiccup))
    for (const outage of outages) this._at(outage.at, () => this._beginOutage(outage))
    for (const { at, worker } of failures) this._at(at, () => this._failRun(worker))
  }

  private _at (at: number, run: () => void): void {
    if (at < Infinity) this._disturbed.schedule(this._startedAt + at, run)
  }

  private _disturb (until: number): void {
    this._disturbances.push({ from: this._disturbed.now, until: this._startedAt + until })
  }

  /** A process that is running, so that clients reach it. */
  private get _reachableProcess (): string | undefined {
    return [...this._disturbed.fleet.nodes].find(([, { stop, clock }]) => !stop.signal.aborted && !clock.isSuspended)?.[0]
  }

  private _scheduleLastingJob (id: string, { at, tasks, budget, cancelledAt }: AvailabilityPlan['lastingJobs'][number]): void {
    const { fleet } = this._disturbed
    for (let task = 0; task < tasks; task++) fleet.outcomesByTask.set(`${id}.0.0.${task}`, { milliseconds: Infinity, result: 'done' })
    this._at(at, () => this._submitLastingJob(id, tasks, budget))
    this._at(cancelledAt, () => {
      const name = this._reachableProcess
      if (name === undefined) return
      this._cancelledAt.set(id, this._disturbed.now)
      fleet.cancel(name, id).catch(() => {})
    })
  }

  /** Submits until a process has accepted. */
  private _submitLastingJob (id: string, tasks: number, budget: number): void {
    const name = this._reachableProcess
    const retry = (): void => this._disturbed.schedule(this._disturbed.now + 500, () => this._submitLastingJob(id, tasks, budget))
    if (name === undefined) return retry()
    this._disturbed.fleet.send(name, id, [{ count: tasks, isLasting: true, disruptionBudget: budget, maximumPerWorker: 1, demand: { millicores: 4_000, memoryMegabytes: 1_000, accelerators: 0 } }]).then(({ kind }) => {
      if (kind === 'accepted') this._acceptedAt.set(id, this._disturbed.now)
      else retry()
    }).catch(retry)
  }

  private _submitShortJob (id: string, { pool, tasks, runMilliseconds }: AvailabilityPlan['shortJobs'][number]): void {
    const { fleet } = this._disturbed
    const name = this._reachableProcess
    for (let task = 0; task < tasks; task++) fleet.outcomesByTask.set(`${id}.0.0.${task}`, { milliseconds: runMilliseconds, result: 'done' })
    const demand = { millicores: 16_000, memoryMegabytes: 1_000, accelerators: 0 }
    if (name !== undefined) fleet.send(name, id, [{ count: tasks, estimateMilliseconds: runMilliseconds, demand }], {}, undefined, pool === 'other' ? '/o/' : '/q/').catch(() => {})
  }

  private _publishWave (wave: number, { share, maximumAtOnce }: AvailabilityPlan['waves'][number]): void {
    const { emulator } = this._disturbed.fleet
    const machines = [...emulator.virtualMachines.byId.values()].filter(({ pool }) => pool !== 'standby').map(({ id }) => id)
    emulator.publish(`wave/${wave}`, { wave, machines: machines.slice(0, Math.ceil(machines.length * share / 100)), duration_s: DURATION_OF_WAVES_SECONDS, max_count: maximumAtOnce })
  }

  private _stall ({ process, milliseconds }: AvailabilityPlan['stalls'][number]): void {
    const names = [...this._disturbed.fleet.nodes.keys()]
    const clock = this._disturbed.fleet.nodes.get(names[process % names.length] ?? '')?.clock
    if (!clock || clock.isSuspended) return
    clock.suspend()
    this._disturbed.schedule(this._disturbed.now + milliseconds, () => clock.resume())
  }

  private _beginHiccup ({ at, milliseconds, latencyMilliseconds }: AvailabilityPlan['hiccups'][number]): void {
    const { fleet, now } = this._disturbed
    const { workerLatencies, unansweredCallers } = fleet.emulator.faults
    this._disturb(at + milliseconds)
    const owner = fleet.owner()
    if (latencyMilliseconds === 0) {
      unansweredCallers.set(owner, 'workers')
      this._disturbed.schedule(now + milliseconds, () => unansweredCallers.delete(owner))
      return
    }
    const addresses = this._currentWorkers().map(({ address }) => address)
    for (const address of addresses) workerLatencies.set(address, latencyMilliseconds)
    this._disturbed.schedule(now + milliseconds, () => { for (const address of addresses) workerLatencies.delete(address) })
  }

  private _beginOutage ({ kind, until, workers: numbers }: AvailabilityPlan['outages'][number]): void {
    const current = this._currentWorkers()
    const workers = [...new Set(numbers.flatMap(number => current[number % current.length] ?? []))]
    this._disturb(until)
    for (const { address } of workers) this._cuts.push({ address, from: this._disturbed.now, until: this._startedAt + until + CONTACT_MILLISECONDS })
    kind.begin(this._disturbed, workers, this._startedAt + until)
  }

  private _failRun (number: number): void {
    const busy = this._currentWorkers().filter(({ running }) => running.some(task => task.startsWith('d')))
    const worker = busy[number % Math.max(1, busy.length)]
    const task = worker?.running.find(name => name.startsWith('d'))
    if (worker && task !== undefined) worker.failRun(task)
  }

  private _currentWorkers (): EmulatedWorker[] {
    return this._disturbed.fleet.emulator.workerIncarnations.filter(({ isTerminated, isDisconnected }) => !isTerminated && !isDisconnected)
  }

  private _result (): AvailabilityResult {
    const { fleet } = this._disturbed
    const { workerIncarnations: workers, virtualMachines: { orders } } = fleet.emulator
    const steps = this._plan.lastingJobs.map(({ tasks, budget }, index) => {
      const id = `d${String(index).padStart(3, '0')}`
      return { name: `${id}.0.0`, tasks, budget, acceptedAt: this._acceptedAt.get(id) ?? Infinity, cancelledAt: this._cancelledAt.get(id) ?? Infinity }
    })
    const violations = disruptionBudgetViolations({
      workers,
      orders,
      steps,
      noticeMilliseconds: NOTICE_MILLISECONDS,
      isCalm: (_, at) => !this._disturbances.some(({ from, until }) => from <= at && until + CONTACT_MILLISECONDS >= at - CALM_MILLISECONDS),
      isHeldUp: ({ address }, at) => this._cuts.some(cut => cut.address === address && cut.from <= at && cut.until >= at)
    })
    return {
      findings: violations.map(violation => ({ violation: this._relative(violation), trace: this._describe(violation) })),
      // A completion doesn't count if the lease of its worker has expired before it was acknowledged.
      forbiddenRuns: fleet.violations().filter(violation => violation.endsWith('was active')),
      orders: orders.length,
      stops: workers.reduce((sum, { stopOrders }) => sum + stopOrders.filter(({ task }) => task.startsWith('d')).length, 0),
      lapses: workers.reduce((sum, { completions }) => sum + completions.filter(({ task, result }) => task.startsWith('d') && result === 'lapsed').length, 0)
    }
  }

  /** Replaces epoch milliseconds by those of the series. */
  private _relative (text: string): string {
    return text.replaceAll(/\b17\d{11}(\.\d+)?\b/g, at => String(Number(at) - this._startedAt))
  }

  private _describe (violation: string): string[] {
    const step = violation.split('.').slice(0, 3).join('.')
    const runs = this._disturbed.fleet.emulator.workerIncarnations.flatMap(worker => worker.starts.filter(({ task }) => task.startsWith(step)).map(({ task, run, startedAt }) => {
      const completion = worker.completions.find(other => other.task === task && other.run === run)
      return { startedAt, text: `${task} run ${run} on ${worker.id}: from ${startedAt} to ${completion?.completedAt ?? Infinity} ${completion?.result ?? 'running'}` }
    })).sort((left, right) => left.startedAt - right.startedAt)
    const lines = this._trace.lines.filter(({ event, fields }) => ['term begins', 'term ends', 'worker cordoned for maintenance', 'maintenance ordered', 'workers suspected unreachable', 'worker drain state changed'].includes(event) || JSON.stringify(fields).includes(step))
    return [...runs.map(({ text }) => this._relative(text)), ...lines.map(({ at, process, event, fields }) => this._relative(`${at} ${process} ${event} ${JSON.stringify(fields)}`))]
  }
}
