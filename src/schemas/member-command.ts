/**
 * Commands about the system's own processes.
 */
import * as z from 'zod'
import { Holder } from './holder.js'
import { Member } from './member.js'

/** A process joins, or is known to have ended. */
export const MemberCommand = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('join-member'), value: Member }),
  z.object({
    kind: z.literal('end-member'),
    holder: Holder,
    /** `left` by itself after giving everything back; `gone` by the platform's list; `forgotten` by an operator. */
    reason: z.enum(['left', 'gone', 'forgotten'])
  })
])
export type MemberCommand = z.infer<typeof MemberCommand>
