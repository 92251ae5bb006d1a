/**
 * A caller's request concerning jobs.
 */

/** Where it is addressed and who sends it. */
export interface JobRequest {
  readonly host: string
  readonly path: string
  /** Key that came with it; empty for none. */
  readonly key: string
  /** Epoch milliseconds until which the caller waits. */
  readonly deadline: number
}
