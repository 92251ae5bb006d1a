/**
 * Commands that change the set of the system's own processes.
 */
import * as z from 'zod'
import { Holder } from './holder.js'
import { Member } from './member.js'

/** Adds a process to the member set, notes that the platform's list has had its host, or removes one that has ended. */
export const MemberCommand = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('join-member'), value: Member }),
  z.object({ kind: z.literal('confirm-host'), holder: Holder }),
  z.object({
    kind: z.literal('end-member'),
    holder: Holder,
    /**
     * `left`: the process left by itself after releasing what it held; `gone`: its VM is missing
     * from the platform's list; `forgotten`: an operator removed it.
     */
    reason: z.enum(['left', 'gone', 'forgotten'])
  })
])
export type MemberCommand = z.infer<typeof MemberCommand>
