/**
 * Commands that grant and withdraw keys.
 */
import * as z from 'zod'
import { AccessKey } from './access-key.js'
import { Name } from './name.js'

/** Grants or withdraws one key. A withdrawn key's ID is never granted again. */
export const KeyCommand = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('grant-key'), value: AccessKey }),
  z.object({ kind: z.literal('withdraw-key'), keyId: Name })
])
export type KeyCommand = z.infer<typeof KeyCommand>
