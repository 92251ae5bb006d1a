/**
 * Settings of `samphireglade-control`.
 */
import * as z from 'zod'
import { Name } from '../schemas/name.js'
import { SocketAddress } from '../schemas/socket-address.js'
import { CommonSettings } from './common-settings.js'

/** Largest document of an operator; the total of all bodies must hold at least one. */
const MAXIMUM_DOCUMENT_BYTES = 1_048_576

/** The settings file of a control daemon. */
export const ControlSettings = CommonSettings.extend({
  administration: z.object({
    /** Address to listen on for operators. */
    address: SocketAddress,
    /** Operators who may use the administration interface. */
    operators: z.array(z.object({
      name: Name,
      /** SHA-256 of the token, in hexadecimal. */
      tokenSha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hexadecimal')
    }).strict()).min(1).max(256)
  }).strict(),
  snapshots: z.object({
    /** Number of records between two snapshots; must be well below the number that the log retains. */
    recordsBetween: z.number().int().min(100).default(2_000)
  }).strict().prefault({})
}).strict().superRefine(({ clients }, context) => {
  if ((clients.maximumTotalBodyBytes ?? MAXIMUM_DOCUMENT_BYTES) >= MAXIMUM_DOCUMENT_BYTES) return
  context.addIssue({ code: 'custom', path: ['clients', 'maximumTotalBodyBytes'], message: `must be at least ${MAXIMUM_DOCUMENT_BYTES}, the size of the largest document` })
})
export type ControlSettings = z.infer<typeof ControlSettings>
