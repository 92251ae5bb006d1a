/**
 * Plays series of workers that start again under their IDs.
 */
import { SeededRandomSource } from '../../../src/supervision/seeded-random-source.js'
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from '../emulated-fleet.js'
import { DisturbedFleet } from '../lease-series/disturbed-fleet.js'
import { orderAboutMachine } from '../lease-series/order-about-machine.js'
import { restartWorker } from '../lease-series/restart-worker.js'
import { LogTrace } from './log-trace.js'
import type { RestartPlan } from './restart-plan.js'
import type { RestartResult } from './restart-result.js'

/** Time in which the processes have started, in milliseconds. */
const START_MILLISECONDS = 2_000

/** Time after which a series is over: the longest cut, and a lease, after the last loss of power. */
const SERIES_MILLISECONDS = 18_000

/** The same with takeovers: the last of them, the longest delay of a call, and a lease. */
const TAKEOVER_SERIES_MILLISECONDS = 38_000

/** Difference between the seed of a plan and that of the calls whose connections are late. */
const CALL_SEED = 6_000_000

/** A fleet that follows a plan. */
export class RestartPlayer {
  private readonly _startedAt: number
  private readonly _powerLosses: { readonly worker: EmulatedWorker, readonly at: number }[] = []
  private _lateConnections = 0

  private constructor (private readonly _plan: RestartPlan, private readonly _disturbed: DisturbedFleet, private readonly _trace: LogTrace) {
    this._startedAt = _disturbed.now
  }

  /** Plays a plan. */
  static async play (plan: RestartPlan): Promise<RestartResult> {
    const fleet = new EmulatedFleet(plan.seed)
    const trace = new LogTrace(fleet)
    for (const { rack, clockRate } of plan.workers) Object.assign(fleet.emulator.addVirtualMachine('work', 'a', rack) ?? {}, { clockRate })
    fleet.configure({ hasStandby: false })
    for (const name of plan.processes) fleet.start(name)
    await fleet.clock.advance(plan.takeovers?.startMilliseconds ?? START_MILLISECONDS)
    const player = new RestartPlayer(plan, DisturbedFleet.around(fleet, plan.processes), trace)
    player._schedule()
    await player._disturbed.playUntil(player._startedAt + (plan.takeovers ? TAKEOVER_SERIES_MILLISECONDS : SERIES_MILLISECONDS))
    return player._result()
  }

  private _schedule (): void {
    this._delayCalls()
    for (const [index, job] of this._plan.jobs.entries()) this._at(job.at, () => this._submit(index, job))
    for (const outage of this._plan.outages) this._scheduleOutage(outage)
    const { owner, lateStarts, takeovers } = this._plan
    if (owner) this._at(owner.at, () => owner.kind.begin(this._disturbed, this._disturbed.fleet.owner(), this._startedAt + owner.until))
    if (lateStarts) this._scheduleLateStarts(lateStarts)
    if (takeovers) this._scheduleTakeovers(takeovers)
  }

  private _at (at: number, run: () => void): void {
    this._disturbed.schedule(this._startedAt + at, run)
  }

  private _delayCalls (): void {
    const { faults } = this._disturbed.fleet.emulator
    const { seed, connections: { repeatMilliseconds, timeoutMilliseconds, opened, lostResponses }, renewalMilliseconds, reportMilliseconds, lists } = this._plan
    const random = new SeededRandomSource(CALL_SEED + seed)
    const losesResponse = (): boolean => {
      this._lateConnections += 1
      return random.integer(100) < lostResponses
    }
    Object.assign(faults.lateConnections, { repeatMilliseconds, timeoutMilliseconds, opensConnection: () => random.integer(100) < opened, losesResponse })
    Object.assign(faults, { renewalLatencyMilliseconds: renewalMilliseconds, reportMilliseconds })
    Object.assign(faults.virtualMachines, { listAgeMilliseconds: lists.ageMilliseconds, listMilliseconds: lists.milliseconds })
  }

  private _submit (index: number, { rack, tasks, isLasting, runMilliseconds, process }: RestartPlan['jobs'][number]): void {
    const { fleet } = this._disturbed
    const running = [...fleet.nodes].filter(([, { stop, clock }]) => !stop.signal.aborted && !clock.isSuspended).map(([name]) => name)
    const name = running[process % running.length]
    const job = `f${String(index).padStart(3, '0')}`
    for (let task = 0; task < tasks; task++) fleet.outcomesByTask.set(`${job}.0.0.${task}`, { milliseconds: isLasting ? Infinity : runMilliseconds, result: 'done' })
    if (name !== undefined) fleet.send(name, job, [{ count: tasks, isLasting, estimateMilliseconds: runMilliseconds, preferredRack: rack }]).catch(() => {})
  }

  private _scheduleOutage ({ worker: index, losses, cut }: RestartPlan['outages'][number]): void {
    const { fleet: { emulator } } = this._disturbed
    const address = emulator.workerIncarnations[index]?.address ?? ''
    for (const { at, darkMilliseconds, registrationMilliseconds } of losses) {
      this._at(at, () => {
        const worker = this._workerAt(address)
        if (!worker) return
        emulator.outages.cutPower(worker)
        this._powerLosses.push({ worker, at: this._disturbed.now })
        this._at(at + darkMilliseconds, () => {
          emulator.faults.registrationMilliseconds = registrationMilliseconds
          restartWorker(this._disturbed, worker)
          emulator.faults.registrationMilliseconds = 0
        })
      })
    }
    if (cut) this._cutAfterStart(address, this._startedAt + (losses[0]?.at ?? 0), cut)
  }

  private _cutAfterStart (address: string, from: number, { afterMilliseconds, lastsMilliseconds }: NonNullable<RestartPlan['outages'][number]['cut']>): void {
    const { outages } = this._disturbed.fleet.emulator
    const worker = this._workerAt(address)
    if (this._disturbed.now >= from && worker?.starts.some(({ startedAt }) => startedAt >= from)) {
      this._disturbed.schedule(this._disturbed.now + afterMilliseconds, () => {
        const current = this._workerAt(address)
        if (!current) return
        outages.disconnect(current)
        this._disturbed.schedule(this._disturbed.now + lastsMilliseconds, () => outages.reconnect(current))
      })
    } else {
      this._disturbed.schedule(Math.max(from, this._disturbed.now + 10), () => this._cutAfterStart(address, from, { afterMilliseconds, lastsMilliseconds }))
    }
  }

  private _scheduleLateStarts ({ at, until, lateMilliseconds }: NonNullable<RestartPlan['lateStarts']>): void {
    const { faults } = this._disturbed.fleet.emulator
    Object.assign(faults, { lateStartMilliseconds: lateMilliseconds, lateStartsReachSuccessors: true })
    this._at(at, () => { for (const address of this._outageAddresses) faults.lateStartAddresses.add(address) })
    this._at(until, () => faults.lateStartAddresses.clear())
  }

  private _scheduleTakeovers ({ lateRenewals, owners, cut, orders }: NonNullable<RestartPlan['takeovers']>): void {
    const { fleet, fleet: { emulator: { faults, workerIncarnations } } } = this._disturbed
    if (lateRenewals) {
      Object.assign(faults, { lateRenewalMilliseconds: lateRenewals.lateMilliseconds, lateStartsReachSuccessors: true })
      this._at(lateRenewals.at, () => { for (const address of this._outageAddresses) faults.lateRenewalAddresses.add(address) })
      this._at(lateRenewals.until, () => faults.lateRenewalAddresses.clear())
    }
    for (const { kind, at, until, cutMilliseconds } of owners) {
      this._at(at, () => {
        if (fleet.owner() !== '') kind.begin(this._disturbed, fleet.owner(), this._startedAt + until)
        if (cutMilliseconds !== null) this._cutOutages(cutMilliseconds)
      })
    }
    if (cut) this._at(cut.at, () => this._cutOutages(cut.lastsMilliseconds))
    for (const { worker: index, at } of orders) {
      this._at(at, () => {
        const worker = this._workerAt(workerIncarnations[index]?.address ?? '')
        if (worker) orderAboutMachine(this._disturbed, worker)
      })
    }
  }

  /** Cuts the workers off that lose power in the series. */
  private _cutOutages (milliseconds: number): void {
    const { outages } = this._disturbed.fleet.emulator
    for (const worker of this._outageAddresses.flatMap(address => this._workerAt(address) ?? [])) {
      outages.disconnect(worker)
      this._disturbed.schedule(this._disturbed.now + milliseconds, () => outages.reconnect(worker))
    }
  }

  /** Addresses of the workers that lose power. */
  private get _outageAddresses (): string[] {
    const { workerIncarnations } = this._disturbed.fleet.emulator
    return this._plan.outages.flatMap(({ worker }) => workerIncarnations[worker]?.address ?? [])
  }

  /** The worker at an address, unless it has ended. */
  private _workerAt (address: string): EmulatedWorker | undefined {
    return this._disturbed.fleet.emulator.workerIncarnations.findLast(worker => worker.address === address && !worker.isTerminated)
  }

  private _result (): RestartResult {
    const { fleet } = this._disturbed
    const { workerIncarnations } = fleet.emulator
    return {
      findings: fleet.violations().filter(violation => !this._isExcepted(violation)).map(violation => this._describe(violation)),
      waits: this._powerLosses.flatMap(({ worker, at }) => worker.completions.filter(({ result, completedAt }) => result === 'killed' && completedAt === at).map(({ task, run }) => {
        return { task, run, milliseconds: Math.min(Infinity, ...fleet.starts(task).filter(start => start.run > run).map(start => start.at)) - at }
      })),
      startsOnRestarted: workerIncarnations.filter(({ startedAt }) => startedAt >= this._startedAt).reduce((sum, { starts }) => sum + starts.length, 0),
      lateConnections: this._lateConnections,
      lateRenewals: fleet.emulator.faults.renewalsOnSuccessors
    }
  }

  /** Whether a run was started after another one whose completion was acknowledged only after its worker's lease had expired, which the platform allows. */
  private _isExcepted (violation: string): boolean {
    const [, task, run] = /^(.*): .* after run (\d+) was done/.exec(violation) ?? []
    return this._disturbed.fleet.emulator.workerIncarnations.some(({ completions, leaseExpiries }) => completions.some(completion =>
      completion.task === task && completion.run === Number(run) && leaseExpiries.some(at => at >= completion.completedAt && at <= completion.acknowledgedAt)))
  }

  private _describe (violation: string): RestartResult['findings'][number] {
    const { workerIncarnations } = this._disturbed.fleet.emulator
    const task = violation.slice(0, violation.indexOf(':'))
    const [later = 0, earlier = 0] = [...violation.matchAll(/run (\d+)/g)].map(([, run]) => Number(run))
    const runs = workerIncarnations.flatMap(worker => worker.starts.filter(start => start.task === task).map(({ run, startedAt }) => ({ worker, run, startedAt })))
    // A late start may begin the run that was given up after the one that follows it.
    const givenUp = Math.min(later, earlier)
    const nextStart = runs.find(({ run }) => run === Math.max(later, earlier))?.startedAt ?? Infinity
    const describeRun = ({ worker, run, startedAt }: typeof runs[number]): string => {
      const completion = worker.completions.find(other => other.task === task && other.run === run)
      return `run ${run} on ${worker.id} born ${worker.startedAt - this._startedAt}: from ${startedAt - this._startedAt} to ${(completion?.completedAt ?? Infinity) - this._startedAt} ${completion?.result ?? 'running'}`
    }
    const workers = new Set(runs.map(({ worker }) => worker.id))
    return { violation, cause: this._trace.causeOf(task, givenUp, nextStart), trace: [...runs.map(describeRun), ...this._trace.describe(task, workers, this._startedAt)] }
  }
}
