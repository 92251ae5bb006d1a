/**
 * Header names between the system and endpoints.
 */

/** Lower-case header names. */
export const ENDPOINT_HEADERS = {
  /** Identity of the request; an answer must echo it. */
  requestId: 'samphireglade-request-id',
  /** Deadline of the request, epoch milliseconds. */
  deadline: 'samphireglade-deadline',
  /** Team that the request runs for; absent on queues open to all. */
  team: 'samphireglade-team',
  /** Pool that the sender believes the endpoint to be in; the endpoint refuses others. */
  pool: 'samphireglade-pool',
  /** Set by an endpoint on a refusal: the request was not run. */
  refused: 'samphireglade-refused',
  /** Set by an endpoint on answers: requests that it has now. */
  running: 'samphireglade-running'
} as const
