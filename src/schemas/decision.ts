/**
 * The fold's decisions on commands.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Finding } from './finding.js'

/** Whether a record's command was accepted or refused; it never changes. */
export const Decision = z.object({
  /** ID of the record, which operators see as the change ID. */
  id: z.string(),
  kind: z.string(),
  offset: z.number().int(),
  time: EpochMilliseconds,
  isAccepted: z.boolean(),
  /** Why it was refused; empty if it was accepted. */
  findings: z.array(Finding)
})
export type Decision = z.infer<typeof Decision>
