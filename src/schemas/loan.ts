/**
 * Loans of units of an upper limit between entry processes.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Holder } from './holder.js'
import { Name } from './name.js'

/** Units that a lender lets a borrower use until a deadline. */
export const Loan = z.object({
  id: z.string().min(1).max(64),
  team: Name,
  units: z.number().int().min(1),
  lender: Holder,
  /**
   * Sequence of the lender's undecided transfer of the same units to the same borrower, or
   * null. The loan is void once the fold has decided the transfer, because the borrower then
   * either holds the units itself or has no right to them.
   */
  transferSequence: z.number().int().min(1).nullable(),
  /** Until when the borrower may start requests under the loan. */
  startDeadline: EpochMilliseconds,
  /** When all requests started under the loan must have ended; from then on the lender may use the units again. */
  endDeadline: EpochMilliseconds
})
export type Loan = z.infer<typeof Loan>
