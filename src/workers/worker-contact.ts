/**
 * Whether a worker can be reached.
 */
import type { WorkerClient } from './worker-client.js'
import { WorkerReservations } from './worker-reservations.js'

/** Reason for giving up what waits for an incarnation. Node would otherwise create an error with a stack trace for each. */
const INCARNATION_ENDED = new Error('the worker has restarted')

/** What the owner's calls to a worker have shown: when it has reported, whether it responds, and whether it has restarted. */
export abstract class WorkerContact extends WorkerReservations {
  /** Epoch milliseconds since which the worker may be unreachable: it gets nothing new before a later report. */
  suspectedSince = 0
  /** Epoch milliseconds of the last report; 0 before the first under this term. */
  lastReportAt = 0
  /** Epoch milliseconds by which the next report must have arrived; 0 after a failed call. Past it, the worker gets nothing new. */
  reportDueAt = 0
  /** Epoch milliseconds of the first failed call since the last report; 0 if none has failed. */
  unreachableSince = 0
  /** Epoch milliseconds of the last failed call, also if it has reported since; 0 if none has failed. */
  failedCallAt = 0
  /** Whether a response has come from another clock than the reports: the next incarnation is probably there, which nothing may be acknowledged to, and whose clock isn't known. */
  isRestartSuspected = false
  /** Whether a connection to the worker has been refused since the last report: nothing listens at its address, or a network device says so. */
  refusesConnections = false
  /** Epoch milliseconds from which on the response to the present call is late; Infinity while none is awaited. */
  responseOverdueAt = Infinity
  /** Whether another worker has named its address while it refused connections: unless it reports again, it has ended. */
  hasSuccessor = false
  /** Whether another worker has responded at its address, where calls that name its ID are refused. */
  isReplaced = false
  /** Client for calls to the worker; null for a placeholder and after its lease renewal has ended. */
  client: WorkerClient | null = null

  private _incarnationEnd = new AbortController()

  /** Aborted when the worker has restarted, as far as is known, or has probably done so. */
  get incarnationSignal (): AbortSignal {
    return this._incarnationEnd.signal
  }

  /** Whether the worker doesn't respond: a call has failed since its last report, or there is nowhere to call it. */
  get isSilent (): boolean {
    return this.unreachableSince > 0 || (this.client === null && this.lastReportAt === 0)
  }

  /** Ends the present call, which the previous incarnation won't answer, and keeps new tasks away until the next report. */
  suspectRestart (now: number): void {
    this.isRestartSuspected = true
    this.suspectedSince = Math.max(this.suspectedSince, now)
    this.endCall()
  }

  /** Returns whether the response to the present call is late, so that it may not come. */
  isResponseOverdue (now: number): boolean {
    return now >= this.responseOverdueAt && this.tasks.size > 0
  }

  /** Records a failed call. */
  recordFailedCall (isConnectionRefused: boolean, now: number): void {
    this.failedCallAt = now
    if (this.unreachableSince === 0) this.unreachableSince = now
    if (isConnectionRefused) this.refusesConnections = true
  }

  protected endCall (): void {
    const ended = this._incarnationEnd
    this._incarnationEnd = new AbortController()
    ended.abort(INCARNATION_ENDED)
  }

  protected clearFailedCalls (): void {
    this.unreachableSince = 0
    this.refusesConnections = false
    this.hasSuccessor = false
  }
}
