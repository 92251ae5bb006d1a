/**
 * A fleet with a worker in each of several racks.
 */
import type { StepDefinition } from '../../../src/jobs/step-definition.js'
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from '../emulated-fleet.js'

/** Time in which the processes have started, in milliseconds. */
const START_MILLISECONDS = 2_000

/** Duration of a run that ends by itself, longer than any test, in milliseconds. */
const RUN_MILLISECONDS = 120_000

/** Submits jobs to chosen racks, and ends owners and workers. */
export class RackFleet {
  private constructor (readonly fleet: EmulatedFleet) {}

  /** Starts the processes, and a worker in each rack. */
  static async create (racks: readonly string[], processes: readonly string[] = ['one', 'two', 'three', 'four']): Promise<RackFleet> {
    const fleet = new EmulatedFleet(1)
    for (const rack of racks) fleet.emulator.addVirtualMachine('work', 'a', rack)
    fleet.configure({ hasStandby: false })
    for (const process of processes) fleet.start(process)
    await fleet.clock.advance(START_MILLISECONDS)
    return new RackFleet(fleet)
  }

  /** Submits a job of one step whose tasks don't last, but take longer than a test; they prefer a rack. */
  async submit (job: string, preferredRack: string, step: Partial<StepDefinition> = {}): Promise<void> {
    for (let task = 0; task < (step.count ?? 1); task++) this.fleet.outcomesByTask.set(`${job}.0.0.${task}`, { milliseconds: RUN_MILLISECONDS, result: 'done' })
    await this.fleet.submit(this.fleet.nonOwner(), job, [{ estimateMilliseconds: RUN_MILLISECONDS, preferredRack, ...step }])
  }

  /** The worker that runs a task. */
  workerOf (task: string): EmulatedWorker {
    const worker = this.fleet.emulator.workerIncarnations.find(({ isTerminated, running }) => !isTerminated && running.includes(task))
    if (!worker) throw new Error(`${task} does not run`)
    return worker
  }

  /** Kills the owner for good and returns its name. */
  loseOwner (): string {
    const owner = this.fleet.owner()
    this.fleet.kill(owner)
    return owner
  }

  /** Loses the owner for good, and all other processes for a time; returns the epoch milliseconds at which they are back. */
  async restartProcesses (downtimeMilliseconds: number): Promise<number> {
    const lost = this.loseOwner()
    const names = [...this.fleet.nodes.keys()].filter(name => name !== lost)
    for (const name of names) this.fleet.kill(name)
    await this.fleet.clock.advance(downtimeMilliseconds)
    for (const name of names) this.fleet.start(name)
    return this.fleet.clock.now()
  }

  /** Ends all workers that have not ended, and starts the next incarnations under their IDs at once. */
  restartWorkers (): void {
    for (const worker of this.fleet.emulator.workerIncarnations.filter(({ isTerminated }) => !isTerminated)) {
      worker.terminate()
      this.fleet.emulator.restart(worker)
    }
  }

  /** Epoch milliseconds of the first start of a later run of a task than its first; Infinity if there was none. */
  restartOf (task: string): number {
    return Math.min(Infinity, ...this.fleet.starts(task).flatMap(({ run, at }) => run > 1 ? [at] : []))
  }

  /** Waits until a process begins a term, for at most ten seconds, and returns its name. */
  async nextOwner (): Promise<string> {
    const count = (): number => this._countTerms()
    const before = count()
    for (let elapsed = 0; count() === before && elapsed < 10_000; elapsed += 10) await this.fleet.clock.advance(10)
    if (count() === before) throw new Error('no term has begun')
    return this.fleet.owner()
  }

  private _countTerms (): number {
    return [...this.fleet.nodes.values()].reduce((sum, { log }) => sum + log.fieldsOf('term begins').length, 0)
  }
}
