/**
 * Headers exchanged with endpoints.
 */

/** Header names in lower case. */
export const ENDPOINT_HEADERS = {
  /** ID of the request; the response must echo it. */
  requestId: 'samphireglade-request-id',
  /** Deadline of the request, epoch milliseconds. */
  deadline: 'samphireglade-deadline',
  /** Team on whose behalf the request runs; absent for queues that are open to all. */
  team: 'samphireglade-team',
  /** Pool that the sender expects the endpoint to be in; the endpoint refuses requests for any other pool. */
  pool: 'samphireglade-pool',
  /** Set by an endpoint that refuses a request: the request was not run. */
  refused: 'samphireglade-refused',
  /** Set by an endpoint on responses: the number of requests it is handling. */
  running: 'samphireglade-running'
} as const
