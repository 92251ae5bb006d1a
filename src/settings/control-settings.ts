/**
 * Settings of `samphireglade-control`.
 */
import * as z from 'zod'
import { Name } from '../schemas/name.js'
import { SocketAddress } from '../schemas/socket-address.js'
import { CommonSettings } from './common-settings.js'

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
}).strict()
export type ControlSettings = z.infer<typeof ControlSettings>
