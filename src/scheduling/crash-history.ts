/**
 * The crashes of workers under the runs of one task.
 */
import type { RunCrash } from '../jobs/run-crash.js'

/** Time for which a run must have been running before it isn't suspected of a crash, in milliseconds. */
const TRIAL_MILLISECONDS = 300

/** The same for a task under which several workers have crashed, which may crash them later than at its start. */
const LONG_TRIAL_MILLISECONDS = 3_000

/** Crashes under a task after which its next run takes the long trial, whatever its part in them. */
const CRASHES_BEFORE_LONG_TRIAL = 2

/** Crashes shortly after the start of a task's run after which it is given up, if it was the only suspect in one of them. */
const MAXIMUM_SUSPECTED_CRASHES = 2

/** Crashes after which a task is given up if it was the only suspect in one of them. */
const MAXIMUM_CRASHES_OF_CULPRIT = 3

/** Crashes after which a task is given up in any case. */
const MAXIMUM_CRASHES = 4

/** The same with crashes under runs that may not have begun. */
const MAXIMUM_CRASHES_WITH_UNCONFIRMED = 5

/** Decides from a task's crashes how its next run starts, and whether there is a next run. */
export class CrashHistory {
  /** @param _crashes the crashes that the journal has. */
  constructor (private _crashes: readonly RunCrash[] = []) {}

  /** The crashes, as written to the journal. */
  get crashes (): readonly RunCrash[] {
    return this._crashes
  }

  get isEmpty (): boolean {
    return this._crashes.length === 0
  }

  /** Time for which a run of the task must have been running before it isn't suspected of a crash, in milliseconds. */
  get trialMilliseconds (): number {
    return this._crashes.length < CRASHES_BEFORE_LONG_TRIAL ? TRIAL_MILLISECONDS : LONG_TRIAL_MILLISECONDS
  }

  /** Whether the next run should start while no other run on its worker is on trial, so that a crash shows whether it is the cause. */
  get needsIsolation (): boolean {
    return this._crashes.length >= CRASHES_BEFORE_LONG_TRIAL || this._crashes.some(({ role }) => role !== 'bystander')
  }

  /** Whether the next run has to wait for such a worker for as long as it takes. */
  get requiresIsolation (): boolean {
    return this._isCulprit || (this._crashes.length >= CRASHES_BEFORE_LONG_TRIAL && this._crashes.some(({ role }) => role !== 'bystander'))
  }

  /** Whether the task was the only suspect of a crash, or has been in more crashes than one that only ran beside the cause is likely to be. */
  get isProbableCause (): boolean {
    return this._isCulprit || this._crashes.length > CRASHES_BEFORE_LONG_TRIAL
  }

  /** Whether the task must not be started again. */
  get isExhausted (): boolean {
    const confirmed = this._crashes.filter(({ role }) => role !== 'unconfirmed')
    const suspected = confirmed.filter(({ role }) => role !== 'bystander')
    const isCulprit = this._isCulprit && (suspected.length >= MAXIMUM_SUSPECTED_CRASHES || confirmed.length >= MAXIMUM_CRASHES_OF_CULPRIT)
    return isCulprit || confirmed.length >= MAXIMUM_CRASHES || this._crashes.length >= MAXIMUM_CRASHES_WITH_UNCONFIRMED
  }

  /** Records a crash; the crash of a run is counted once. Returns whether it is new. */
  record (crash: RunCrash): boolean {
    if (this._crashes.some(({ run }) => run === crash.run)) return false
    this._crashes = [...this._crashes, crash]
    return true
  }

  /** Forgets the crashes of a task that has been running for long. */
  clear (): void {
    this._crashes = []
  }

  private get _isCulprit (): boolean {
    return this._crashes.some(({ role }) => role === 'culprit')
  }
}
