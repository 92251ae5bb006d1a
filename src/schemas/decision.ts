/**
 * What the fold decided about a command.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Finding } from './finding.js'

/** The verdict on a record; it never changes. */
export const Decision = z.object({
  /** Id of the record, the `change id` of operators. */
  id: z.string(),
  kind: z.string(),
  offset: z.number().int(),
  time: EpochMilliseconds,
  isAccepted: z.boolean(),
  /** Why it was refused; empty if it was accepted. */
  findings: z.array(Finding)
})
export type Decision = z.infer<typeof Decision>
