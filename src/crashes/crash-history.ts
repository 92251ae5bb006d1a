/**
 * The crashes of workers under the runs of one task.
 */
import type { RunCrash } from '../jobs/run-crash.js'
import type { UnprovenEnd } from '../jobs/unproven-end.js'
import { weighCrashes } from './weigh-crashes.js'

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

/** Crashes, with those that aren't proved, from which a task isn't started if they would suffice to give it up: crashes that have not counted may have used up the starts that remain. */
const CRASHES_BEFORE_HOLDING_BACK = 3

/** Limit on the crashes that don't count which are kept for the log. */
const MAXIMUM_DISCOUNTED = 10

/** Weight of its crashes from which a task is given up: a sound one reaches it with a probability of at most 1/200. */
const MINIMUM_WEIGHT = 200

/** Decides from a task's crashes how its next run starts, and whether there is a next run. */
export class CrashHistory {
  private _crashes: readonly RunCrash[]
  /** Possible crashes: until another incarnation of the worker proves them, they isolate the next run but don't count towards giving the task up. */
  private _unproven: readonly RunCrash[]
  /** Crashes that don't count, with their cause, for the log; as far as this owner knows. */
  private _discounted: ReadonlyMap<number, string> = new Map()

  /** @param records what the journal has. */
  constructor (records: readonly RunCrash[] = []) {
    this._crashes = records.filter(({ unprovenEnd }) => !unprovenEnd)
    this._unproven = records.filter(({ unprovenEnd }) => unprovenEnd)
  }

  /** All crashes, also those that aren't proved, as written to the journal. */
  get records (): readonly RunCrash[] {
    return [...this._crashes, ...this._unproven]
  }

  /** The crashes that count and those that don't, as text for the log. */
  get summary (): string[] {
    return [...this._crashes.map(crash => this._describe(crash)), ...[...this._discounted].map(([run, cause]) => `run ${run} doesn't count: ${cause}`)]
  }

  /** Number of crashes. */
  get count (): number {
    return this._crashes.length
  }

  /** Whether there are crashes that aren't proved. */
  get hasUnproven (): boolean {
    return this._unproven.length > 0
  }

  /** Whether there are none, not even possible ones. */
  get isEmpty (): boolean {
    return this._recordCount === 0
  }

  /** Time for which a run of the task must have been running before it isn't suspected of a crash, in milliseconds. */
  get trialMilliseconds (): number {
    return this._recordCount < CRASHES_BEFORE_LONG_TRIAL ? TRIAL_MILLISECONDS : LONG_TRIAL_MILLISECONDS
  }

  /** Whether the next run should start while no other run on its worker is on trial, so that a crash shows whether it is the cause. Possible crashes suffice. */
  get needsIsolation (): boolean {
    return this._recordCount >= CRASHES_BEFORE_LONG_TRIAL || this.records.some(({ role }) => role !== 'bystander')
  }

  /** Whether the next run has to wait for such a worker for as long as it takes. */
  get requiresIsolation (): boolean {
    return this._isCulprit || (this._recordCount >= CRASHES_BEFORE_LONG_TRIAL && this.records.some(({ role }) => role !== 'bystander'))
  }

  /** Whether the task was the only suspect of a crash, or has been in more crashes than one that only ran beside the cause is likely to be. */
  get isProbableCause (): boolean {
    return this._isCulprit || this._crashes.length > CRASHES_BEFORE_LONG_TRIAL
  }

  /** Whether the task must not be started again. */
  get isExhausted (): boolean {
    return this._suffice(this._crashes)
  }

  /** Whether the next run has to wait: until the task is given up, or until crashes are proved or forgotten, because there would be none if all of them were proved. */
  get isHeldBack (): boolean {
    if (this._recordCount < MAXIMUM_SUSPECTED_CRASHES) return false
    return this.isExhausted || (this._unproven.length > 0 && this._recordCount >= CRASHES_BEFORE_HOLDING_BACK && this._suffice(this.records))
  }

  /** How much likelier the crashes are if the task is their cause than by chance. */
  get weight (): number {
    return weighCrashes(this._crashes)
  }

  /** Records a crash; the crash of a run is counted once. Returns whether it is new. */
  record ({ run, role, evidence }: RunCrash): boolean {
    this._unproven = this._unproven.filter(other => other.run !== run)
    if (this._crashes.some(other => other.run === run)) return false
    this._crashes = [...this._crashes, { run, role, ...evidence ? { evidence } : {} }]
    return true
  }

  /** Notes that the crash of a run doesn't count. */
  discount (run: number, cause: string): void {
    this._discounted = new Map([...this._discounted, [run, cause] as const].slice(-MAXIMUM_DISCOUNTED))
  }

  /** Removes the crash of a run, proved or not. Returns whether there was one. */
  withdraw (run: number, cause: string): boolean {
    this.discount(run, cause)
    const countBefore = this._recordCount
    this._crashes = this._crashes.filter(other => other.run !== run)
    this._unproven = this._unproven.filter(other => other.run !== run)
    return this._recordCount < countBefore
  }

  /** Records a crash that counts only once it is proved. */
  recordUnproven (crash: RunCrash): void {
    if (this.records.some(({ run }) => run === crash.run)) return
    this._unproven = [...this._unproven, crash]
  }

  /** Returns the crashes that the end of a worker proves. */
  provedBy (isEnded: (end: UnprovenEnd) => boolean): readonly RunCrash[] {
    return this._unproven.filter(({ unprovenEnd }) => unprovenEnd && isEnded(unprovenEnd))
  }

  /** Forgets the crashes of a worker that hasn't ended. Returns whether there are any. */
  disprove (worker: string, incarnation: number): boolean {
    const remaining = this._unproven.filter(({ unprovenEnd }) => unprovenEnd?.worker !== worker || unprovenEnd.incarnation !== incarnation)
    const isAny = remaining.length < this._unproven.length
    this._unproven = remaining
    return isAny
  }

  /** Forgets the crashes that can't be proved any more at a fleet time. */
  forgetUnproven (now: number): void {
    this._unproven = this._unproven.filter(({ unprovenEnd }) => unprovenEnd && unprovenEnd.forgetAt > now)
  }

  /** Forgets the crashes of a task that has been running for long. */
  clear (): void {
    this._crashes = []
    this._unproven = []
  }

  /** Number of `records`, without the list: placement asks for each task on each candidate worker. */
  private get _recordCount (): number {
    return this._crashes.length + this._unproven.length
  }

  /** Whether crashes are enough, and heavy enough, to give the task up. */
  private _suffice (crashes: readonly RunCrash[]): boolean {
    if (crashes.length < MAXIMUM_SUSPECTED_CRASHES) return false
    const confirmed = crashes.filter(({ role }) => role !== 'unconfirmed')
    const suspected = confirmed.filter(({ role }) => role !== 'bystander')
    const isCulprit = crashes.some(({ role }) => role === 'culprit') && (suspected.length >= MAXIMUM_SUSPECTED_CRASHES || confirmed.length >= MAXIMUM_CRASHES_OF_CULPRIT)
    const areEnough = isCulprit || confirmed.length >= MAXIMUM_CRASHES || crashes.length >= MAXIMUM_CRASHES_WITH_UNCONFIRMED
    return areEnough && weighCrashes(crashes) >= MINIMUM_WEIGHT
  }

  private _describe ({ run, role, evidence }: RunCrash): string {
    if (!evidence) return `run ${run} ${role}`
    const { minimumAge, maximumAge, rivals, rate } = evidence
    return `run ${run} ${role} after ${minimumAge} to ${maximumAge} ms, rivals ${rivals}, other ends per worker and second ${rate}`
  }

  private get _isCulprit (): boolean {
    return this._crashes.some(({ role }) => role === 'culprit')
  }
}
