/**
 * Task that runs child tasks: starts them in order, restarts those that fail, and
 * stops them in reverse order.
 */
import { setMaxListeners } from 'node:events'
import { aborted } from './aborted.js'
import type { Clock } from './clock.js'
import { NEVER_ABORTED } from './never-aborted.js'
import type { RestartLimit } from './restart-limit.js'
import type { SupervisorObserver } from './supervisor-observer.js'
import { Task } from './task.js'

/** Default: five restarts per minute; after that the failure propagates to the parent. */
const DEFAULT_RESTART_LIMIT: RestartLimit = { restarts: 5, windowMilliseconds: 60_000 }

/** Delay before a failed child is restarted. */
const RESTART_DELAY_MILLISECONDS = 200

/** A child with what stops it and the promise that it has ended. */
class Child {
  private readonly _controller: AbortController | null
  /** Aborted to stop the task. */
  readonly signal: AbortSignal
  ended: Promise<void> = Promise.resolve()

  constructor (readonly task: Task, readonly isPermanent: boolean) {
    this._controller = isPermanent || task.isStoppable ? new AbortController() : null
    this.signal = this._controller?.signal ?? NEVER_ABORTED
    // Any number of calls that the task has in progress may listen to this signal.
    if (this._controller) setMaxListeners(0, this.signal)
  }

  /** Stops the task if it can be stopped. */
  abort (): void {
    this._controller?.abort()
  }
}

/** Handle of a temporary child. */
interface StartedChild {
  /** Resolves when the child has ended, whether it returned or failed. */
  readonly ended: Promise<void>
  /** Stops the child and waits until it has ended. */
  readonly stop: () => Promise<void>
}

/**
 * A node of the supervisor tree.
 *
 * Permanent children are restarted whenever they end; temporary ones (a connection, a
 * request) are removed when they end. A child that exceeds the restart limit makes the
 * supervisor fail, which counts as a failure of a child of its parent; when the root fails, the process exits.
 */
export class Supervisor extends Task {
  private readonly _children: Child[] = []
  private readonly _failure = new AbortController()
  private _isRunning = false
  private _isStopping = false

  /**
   * @param name of this node.
   * @param clock for restart delays and the window of the restart limit.
   * @param observer that receives restarts and failures, for metrics and logs.
   * @param _restartLimit for each permanent child.
   */
  constructor (
    readonly name: string,
    protected readonly clock: Clock,
    protected readonly observer: SupervisorObserver,
    private readonly _restartLimit: RestartLimit = DEFAULT_RESTART_LIMIT
  ) {
    super()
  }

  /** Number of children that have not ended. */
  get size (): number {
    return this._children.length
  }

  /** Whether the supervisor is stopping, so that temporary children are no longer started. */
  get isStopping (): boolean {
    return this._isStopping
  }

  /** Adds a permanent child. It starts immediately if the supervisor is running, otherwise with `run`, in the order of the calls. */
  add (task: Task): void {
    const child = new Child(task, true)
    this._children.push(child)
    if (this._isRunning) this._launch(child)
  }

  /**
   * Starts a temporary child immediately. Does nothing if the supervisor is stopping.
   */
  start (task: Task): StartedChild {
    const child = new Child(task, false)
    if (!this._isStopping) {
      this._children.push(child)
      this._launch(child)
    }
    return { ended: child.ended, stop: () => this._stop(child) }
  }

  /**
   * Runs until `signal` is aborted, then stops the temporary children concurrently and the permanent ones in reverse order.
   *
   * @throws the last error of a child that exceeded the restart limit.
   */
  override async run (signal: AbortSignal): Promise<void> {
    this._isRunning = true
    for (const child of [...this._children]) this._launch(child)
    await aborted(AbortSignal.any([signal, this._failure.signal]))
    this._isStopping = true
    // Temporary children depend on permanent ones and not on each other.
    await Promise.all(this._children.filter(({ isPermanent }) => !isPermanent).map(child => this._stop(child)))
    for (const child of [...this._children].reverse()) await this._stop(child)
    if (this._failure.signal.aborted) throw this._failure.signal.reason
  }

  private _launch (child: Child): void {
    child.ended = this._supervise(child).finally(() => this._remove(child))
  }

  private async _supervise (child: Child): Promise<void> {
    const { signal } = child
    let restartTimes: number[] = []
    while (!signal.aborted) {
      const failure = await this._runOnce(child)
      if (signal.aborted || !child.isPermanent) return
      const error = failure ?? new Error(`${child.task.name} returned before it was stopped`)
      this.observer.childRestarted(this.name, child.task.name, error)
      const now = this.clock.now()
      restartTimes = [...restartTimes, now].filter(time => time > now - this._restartLimit.windowMilliseconds)
      if (restartTimes.length > this._restartLimit.restarts) {
        this._failure.abort(error)
        return
      }
      await this.clock.sleepUntil(now + RESTART_DELAY_MILLISECONDS, signal).catch(() => {})
    }
  }

  /** Runs a child and returns the error that it ended with, or null if it returned, as only temporary children may. */
  private async _runOnce (child: Child): Promise<Error | null> {
    try {
      await child.task.run(child.signal)
      return null
    } catch (error) {
      if (!child.isPermanent && !child.signal.aborted) {
        this.observer.childFailed(this.name, child.task.name, error as Error)
      }
      return error as Error
    }
  }

  private async _stop (child: Child): Promise<void> {
    child.abort()
    await child.ended
  }

  private _remove (child: Child): void {
    const index = this._children.indexOf(child)
    if (index >= 0) this._children.splice(index, 1)
  }
}
