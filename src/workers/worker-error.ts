/**
 * Failures of calls to a worker.
 */

/** The reason why a call to a worker failed or was refused. */
export class WorkerError extends Error {
  /**
   * @param kind `unknown`: the request may have taken effect, or may still do so; `unsent`: the request was never sent;
   * `fenced`: the worker has seen a higher fencing token, of another owner; `superseded`: it has seen a higher one that this owner's fence
   * may have issued since the request was made, and has done nothing; `replaced`: another incarnation responds at the address;
   * `outdated`: a run of the task with the same or a higher number has ended there; `late`: the lease deadline has passed on the worker's
   * clock; `room`: not enough resources are available; `ticket`: the ticket is missing or invalid; `unhealthy`: refused without
   * any effect; `invalid`: the request or the response was not understood.
   *
   * @param isConnectionRefused whether nothing listens at the worker's address.
   */
  constructor (readonly kind: 'unknown' | 'unsent' | 'fenced' | 'superseded' | 'replaced' | 'outdated' | 'late' | 'room' | 'ticket' | 'unhealthy' | 'invalid', message: string, readonly isConnectionRefused = false) {
    super(message)
    this.name = 'WorkerError'
  }
}
