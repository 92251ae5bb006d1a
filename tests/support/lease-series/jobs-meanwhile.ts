/**
 * Jobs that are submitted while a fleet is disturbed.
 */
import { Disturbance } from './disturbance.js'
import type { DisturbedFleet } from './disturbed-fleet.js'
import { JOB_NAMES } from './job-names.js'

/** Duration of a run of their tasks, in milliseconds: long enough for a second run to overlap it. */
const RUN_MILLISECONDS = 15_000

/** Tasks of a job, and the demand of one. */
const TASKS = 4
const DEMAND = { millicores: 1_000, memoryMegabytes: 100, accelerators: 0 }

/** Submits jobs of tasks that don't last, each to the next running process, so that starts are on their way at any time. */
export class JobsMeanwhile extends Disturbance<null> {
  override readonly name: string
  override readonly end = 'given'

  /** @param _intervalMilliseconds time between two jobs. */
  constructor (private readonly _intervalMilliseconds: number) {
    super()
    this.name = `jobs submitted every ${_intervalMilliseconds} ms`
  }

  override begin (disturbed: DisturbedFleet, _subject: null, until: number): void {
    this._submit(disturbed, 0, until)
  }

  private _submit (disturbed: DisturbedFleet, index: number, until: number): void {
    const { fleet, now } = disturbed
    if (now >= until) return
    const names = [...fleet.nodes.keys()]
    const job = `${JOB_NAMES.meanwhilePrefix}${String(index).padStart(3, '0')}`
    for (let task = 0; task < TASKS; task++) fleet.outcomesByTask.set(`${job}.0.0.${task}`, { milliseconds: RUN_MILLISECONDS, result: 'done' })
    const process = names[index % names.length]
    if (process !== undefined) fleet.send(process, job, [{ count: TASKS, demand: DEMAND }]).catch(() => {})
    disturbed.schedule(now + this._intervalMilliseconds, () => this._submit(disturbed, index + 1, until))
  }
}
