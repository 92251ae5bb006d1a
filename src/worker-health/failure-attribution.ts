/**
 * Attribution of failed runs to the task or to the VM.
 */
import type { RunFailure } from './run-failure.js'

/** Limits on what is remembered; the oldest is forgotten first. */
const MAXIMUM_KINDS = 2_000
const MAXIMUM_FAILED_TASKS = 10_000
const MAXIMUM_PLACES = 4

/** Where tasks of one kind have recently been done and have failed: epoch milliseconds of the last time, by VM. */
interface KindRecord {
  readonly doneOn: Map<string, number>
  readonly failedOn: Map<string, number>
}

/**
 * Tells failures that a VM causes from those that a task causes, which fails wherever it runs, like others of its kind. A failure counts against the VM
 * once the task has been done elsewhere, or once another task has failed there as well, unless tasks of its kind fail on several VMs and are done on none.
 */
export class FailureAttribution {
  private readonly _kinds = new Map<string, KindRecord>()
  /** Failures of tasks that have not been done since, by task. */
  private readonly _openFailures = new Map<string, RunFailure[]>()

  /** @param _retentionMilliseconds time for which outcomes count. */
  constructor (private readonly _retentionMilliseconds: number) {}

  recordFailure (failure: RunFailure): void {
    const { task, kind, virtualMachine, at } = failure
    this._renew(this._renew(this._kinds, kind, this._kind(kind), MAXIMUM_KINDS).failedOn, virtualMachine, at, MAXIMUM_PLACES)
    this._renew(this._openFailures, task, [...this._recentFailures(task, at), failure], MAXIMUM_FAILED_TASKS)
  }

  /** Records that a task was done; returns the VMs on which it had failed before. */
  recordDone (task: string, kind: string, virtualMachine: string, at: number): Set<string> {
    this._renew(this._renew(this._kinds, kind, this._kind(kind), MAXIMUM_KINDS).doneOn, virtualMachine, at, MAXIMUM_PLACES)
    const failures = this._openFailures.get(task) ?? []
    this._openFailures.delete(task)
    const elsewhere = failures.filter(failure => failure.virtualMachine !== virtualMachine)
    for (const failure of elsewhere) failure.isDoneElsewhere = true
    return new Set(elsewhere.map(failure => failure.virtualMachine))
  }

  /** Returns those of the failures on one VM that count against it: the last one of each task. */
  attributable (failures: readonly RunFailure[], now: number): RunFailure[] {
    const lastByTask = [...new Map(failures.map(failure => [failure.task, failure])).values()]
    const possible = lastByTask.filter(failure => failure.isDoneElsewhere || !this._failsEverywhere(failure, now))
    return possible.filter(failure => failure.isDoneElsewhere || possible.some(other => other.task !== failure.task && (other.kind !== failure.kind || this.isDoneElsewhere(failure.kind, failure.virtualMachine, now))))
  }

  /** Whether a task of a kind has been done on another VM within the retention. */
  isDoneElsewhere (kind: string, virtualMachine: string, now: number): boolean {
    return this._hasRecent(this._kind(kind).doneOn, now, virtualMachine)
  }

  private _failsEverywhere ({ kind, virtualMachine }: RunFailure, now: number): boolean {
    const { doneOn, failedOn } = this._kind(kind)
    return !this._hasRecent(doneOn, now, '') && this._hasRecent(failedOn, now, virtualMachine)
  }

  private _hasRecent (places: ReadonlyMap<string, number>, now: number, except: string): boolean {
    for (const [virtualMachine, at] of places) if (virtualMachine !== except && at > now - this._retentionMilliseconds) return true
    return false
  }

  private _recentFailures (task: string, now: number): RunFailure[] {
    return (this._openFailures.get(task) ?? []).filter(({ at }) => at > now - this._retentionMilliseconds).slice(-MAXIMUM_PLACES * 2)
  }

  private _kind (kind: string): KindRecord {
    return this._kinds.get(kind) ?? { doneOn: new Map<string, number>(), failedOn: new Map<string, number>() }
  }

  /** Sets an entry as the newest one, and drops the oldest above a limit. */
  private _renew<K, V> (entries: Map<K, V>, key: K, value: V, limit: number): V {
    entries.delete(key)
    entries.set(key, value)
    const [oldest] = entries.size > limit ? entries.keys() : []
    if (oldest !== undefined) entries.delete(oldest)
    return value
  }
}
