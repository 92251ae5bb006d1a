/**
 * The workers on which tasks have failed.
 */

/** Failures of a task in a row on one worker after which it pauses there. */
const FAILURES_BEFORE_PAUSE = 2

const PAUSE_MILLISECONDS = 4_000

/** Number of tasks that are remembered; the one that failed first is forgotten first. */
const MAXIMUM_TASKS = 10_000

/** Failures of a task on one worker. */
interface FailureCount {
  readonly count: number
  /** Epoch milliseconds of the last one. */
  readonly at: number
}

/** Keeps a task that failed on a worker from being started there again and again, whichever of the two is the cause; other tasks aren't affected. */
export class FailedTaskTable {
  private readonly _workersByTask = new Map<string, Map<string, FailureCount>>()

  record (task: string, worker: string, now: number): void {
    const workers = this._workersByTask.get(task) ?? new Map<string, FailureCount>()
    workers.set(worker, { count: (workers.get(worker)?.count ?? 0) + 1, at: now })
    this._workersByTask.delete(task)
    this._workersByTask.set(task, workers)
    const [oldest] = this._workersByTask.size > MAXIMUM_TASKS ? this._workersByTask.keys() : []
    if (oldest !== undefined) this._workersByTask.delete(oldest)
  }

  /** Forgets the failures of a task that has been done. */
  forget (task: string): void {
    this._workersByTask.delete(task)
  }

  /** Whether a task has failed on any worker. */
  has (task: string): boolean {
    return this._workersByTask.has(task)
  }

  /** Whether a task has failed on a worker. */
  hasFailedOn (task: string, worker: string): boolean {
    return this._workersByTask.get(task)?.has(worker) ?? false
  }

  /** Whether a task has failed on a worker several times, the last time just now. */
  isPaused (task: string, worker: string, now: number): boolean {
    const failures = this._workersByTask.get(task)?.get(worker)
    return failures !== undefined && failures.count >= FAILURES_BEFORE_PAUSE && now < failures.at + PAUSE_MILLISECONDS
  }

  /** Forgets failures before `start` (epoch milliseconds). */
  prune (start: number): void {
    for (const [task, workers] of this._workersByTask) {
      for (const [worker, { at }] of workers) if (at < start) workers.delete(worker)
      if (workers.size === 0) this._workersByTask.delete(task)
    }
  }
}
