/**
 * A fleet in simulated time that is disturbed by a timetable.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from '../emulated-fleet.js'
import { CalmRecord } from './calm-record.js'
import { DisturbedPools } from './disturbed-pools.js'
import type { PlannedMachine } from './planned-machine.js'

/** Job of the lasting tasks. */
const JOB = 'aaaa'

/** Time between two samples, in milliseconds. */
const SAMPLE_INTERVAL_MILLISECONDS = 50

/** Time in which the processes have started, and then that in which the tasks have. */
const START_MILLISECONDS = 2_000
const STEADY_MILLISECONDS = 3_000

/** A scheduled action. */
interface ScheduledAction {
  readonly at: number
  readonly run: () => void
}

/** The end of a run of a lasting task, and the start of the next run. */
interface RunGap {
  readonly task: string
  readonly worker: string
  readonly result: string
  readonly endedAt: number
  /** Infinity if there was no next run. */
  readonly nextStartAt: number
  /** Epoch milliseconds by which it had to start; Infinity if the series ended before, or disturbed the fleet until its end. */
  readonly latestStartAt: number
}

/** Runs lasting tasks and disturbs the fleet when it is due. */
export class DisturbedFleet {
  readonly calm: CalmRecord
  /** Called when a process begins a term, with its name. */
  onTermBegun: (owner: string) => void = () => {}
  /** Epoch milliseconds of the last action. */
  lastActionAt = 0
  private _actions: ScheduledAction[] = []
  private _newestTerm: number

  /**
   * @param processes names of all processes, running or not.
   * @param workers workers of the VMs of a fleet that was planned in detail.
   */
  private constructor (readonly fleet: EmulatedFleet, readonly processes: readonly string[], readonly workers: ReadonlyMap<PlannedMachine, EmulatedWorker> = new Map()) {
    this.calm = new CalmRecord(fleet)
    this._newestTerm = this._latestTerm().term
  }

  /**
   * Starts a fleet with lasting tasks, at most two on a worker, and waits until they run.
   *
   * @param clockRates rates of the workers' clocks, one for each worker.
   */
  static async create (seed: number, processes: readonly string[], clockRates: readonly number[], tasks: number): Promise<DisturbedFleet> {
    const fleet = new EmulatedFleet(seed)
    for (const clockRate of clockRates) {
      const worker = fleet.emulator.addVirtualMachine('work', 'a')
      if (worker) worker.clockRate = clockRate
    }
    fleet.configure({ hasStandby: false })
    for (const name of processes) fleet.start(name)
    await fleet.clock.advance(START_MILLISECONDS)
    for (let index = 0; index < tasks; index++) fleet.outcomesByTask.set(`${JOB}.0.0.${index}`, { milliseconds: Infinity, result: 'done' })
    await fleet.submit(processes[0] ?? '', JOB, [{ count: tasks, isLasting: true, maximumPerWorker: 2 }])
    await fleet.clock.advance(STEADY_MILLISECONDS)
    return new DisturbedFleet(fleet, processes)
  }

  /**
   * Starts a fleet of several pools with a lasting task on each worker, and makes room for more of them once they run.
   *
   * @param hasOtherTasks whether as many tasks that don't last are started then.
   */
  static async createFilled (seed: number, processes: readonly string[], machines: readonly PlannedMachine[], hasOtherTasks = false): Promise<DisturbedFleet> {
    const fleet = new EmulatedFleet(seed)
    const pools = new DisturbedPools(fleet, machines)
    for (const name of processes) fleet.start(name)
    await fleet.clock.advance(START_MILLISECONDS)
    await pools.submitLastingTasks(processes[0] ?? '')
    await fleet.clock.advance(STEADY_MILLISECONDS)
    pools.makeRoom()
    await fleet.clock.advance(STEADY_MILLISECONDS)
    if (hasOtherTasks) {
      await pools.submitOtherTasks(processes[0] ?? '')
      await fleet.clock.advance(STEADY_MILLISECONDS)
    }
    return new DisturbedFleet(fleet, processes, pools.workers)
  }

  /** Disturbs a fleet that has been started. */
  static around (fleet: EmulatedFleet, processes: readonly string[]): DisturbedFleet {
    return new DisturbedFleet(fleet, processes)
  }

  get now (): number {
    return this.fleet.clock.now()
  }

  /** Workers that run a task. */
  get busyWorkers (): EmulatedWorker[] {
    return this.fleet.emulator.workerIncarnations.filter(({ running }) => running.length > 0)
  }

  /** Whether an action is still to come. */
  get hasActions (): boolean {
    return this._actions.length > 0
  }

  /** Schedules an action; never if `at` is Infinity. */
  schedule (at: number, run: () => void): void {
    if (at < Infinity) this._actions.push({ at, run })
  }

  /** Starts a killed process again, unless it has been started meanwhile. */
  restart (name: string): void {
    if (!this.fleet.nodes.has(name)) this.fleet.start(name)
  }

  /** Kills an owner that is not the first of a series, and starts it again after a time; never if that is Infinity. */
  killNextOwner (name: string, restartAfterMilliseconds: number): void {
    if (!this.fleet.nodes.has(name)) return
    this.fleet.kill(name)
    this.calm.disturb()
    this.schedule(this.now + restartAfterMilliseconds, () => this.restart(name))
  }

  /** Advances time, runs the actions that become due, and samples the fleet. */
  async playUntil (end: number): Promise<void> {
    while (this.now < end) {
      const next = Math.min(end, this.now + SAMPLE_INTERVAL_MILLISECONDS, ...this._actions.map(({ at }) => at))
      if (next > this.now) await this.fleet.clock.advance(next - this.now)
      this._reportTerm()
      const due = this._actions.filter(({ at }) => at <= this.now).sort((left, right) => left.at - right.at)
      this._actions = this._actions.filter(({ at }) => at > this.now)
      for (const { run } of due) run()
      if (due.length > 0) this.lastActionAt = this.now
      this.calm.sample()
    }
  }

  /** Returns the gaps in which a task ran again too late, for a report. */
  lateGaps (): string[] {
    return this.gaps().filter(({ nextStartAt, latestStartAt }) => nextStartAt > latestStartAt).map(({ task, worker, result, endedAt, nextStartAt, latestStartAt }) =>
      `${task}: run on ${worker} ${result}, next run after ${(nextStartAt - endedAt) / 1_000} s, allowed ${(latestStartAt - endedAt) / 1_000} s`)
  }

  /** Returns the gaps between the runs of each task that isn't done. */
  gaps (): RunGap[] {
    const { workerIncarnations } = this.fleet.emulator
    for (const worker of workerIncarnations) worker.completeDueRuns()
    return workerIncarnations.flatMap(({ id, completions }) => completions.filter(({ result }) => result !== 'done').map(({ task, run, result, completedAt }) => {
      const laterStarts = this.fleet.starts(task).filter(start => start.run > run).map(({ at }) => at)
      return { task, worker: id, result, endedAt: completedAt, nextStartAt: Math.min(Infinity, ...laterStarts), latestStartAt: this.calm.latestStart(completedAt) }
    }))
  }

  private _reportTerm (): void {
    const { name, term } = this._latestTerm()
    if (term <= this._newestTerm) return
    this._newestTerm = term
    this.onTermBegun(name)
  }

  private _latestTerm (): { name: string, term: number } {
    const terms = [...this.fleet.nodes].flatMap(([name, { log }]) => log.fieldsOf('term begins').map(({ term }) => ({ name, term: Number(term) })))
    return terms.sort((left, right) => right.term - left.term)[0] ?? { name: '', term: 0 }
  }
}
