/**
 * Settings of `samphireglade-control`.
 */
import * as z from 'zod'
import { Name } from '../schemas/name.js'
import { SocketAddress } from '../schemas/socket-address.js'
import { CommonSettings } from './common-settings.js'

/** The whole settings file of a control daemon. */
export const ControlSettings = CommonSettings.extend({
  administration: z.object({
    /** Where operators connect. */
    address: SocketAddress,
    /** Operators with the hashes of their tokens. */
    operators: z.array(z.object({
      name: Name,
      /** SHA-256 of the token, in hexadecimal. */
      tokenSha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hexadecimal')
    }).strict()).min(1).max(256)
  }).strict(),
  snapshots: z.object({
    /** Records after which a snapshot is written; well below what the log keeps. */
    recordsBetween: z.number().int().min(100).default(2_000)
  }).strict().prefault({})
}).strict()
export type ControlSettings = z.infer<typeof ControlSettings>
