/**
 * A crash that has turned out not to count.
 */
import type { AttributedCrash } from './attributed-crash.js'

/** A run under which a worker ended by a cause that it shared with other workers. */
export interface WithdrawnCrash extends Pick<AttributedCrash, 'task' | 'run'> {
  /** What the worker ended with, for the log. */
  readonly cause: string
}
