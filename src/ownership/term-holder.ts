/**
 * Who holds a term.
 */

/** An incarnation of a process. */
export interface TermHolder {
  /** Name of the incarnation; each start of the process has another. */
  readonly name: string
  /** Name of the process. */
  readonly process: string
}
