/**
 * A loan of units of an upper limit between entry processes.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Holder } from './holder.js'
import { Name } from './name.js'

/** What a lender grants. */
export const Loan = z.object({
  id: z.string().min(1).max(64),
  team: Name,
  units: z.number().int().min(1),
  lender: Holder,
  /**
   * The lender's undecided transfer of the same units to the same borrower, or null. The
   * loan is void once the fold has decided it: the units are then either held or not.
   */
  transferSequence: z.number().int().min(1).nullable(),
  /** Until when the borrower may start work under it. */
  startDeadline: EpochMilliseconds,
  /** When all work started under it must have ended; the lender then has the units back. */
  endDeadline: EpochMilliseconds
})
export type Loan = z.infer<typeof Loan>
