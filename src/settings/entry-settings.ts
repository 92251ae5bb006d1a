/**
 * Settings of `samphireglade-entry`.
 */
import * as z from 'zod'
import { SocketAddress } from '../schemas/socket-address.js'
import { CommonSettings } from './common-settings.js'

/** The whole settings file of an entry daemon. */
export const EntrySettings = CommonSettings.extend({
  callers: z.object({
    /** Where callers, by way of the balancer, connect. */
    address: SocketAddress
  }).strict(),
  stop: z.object({
    /** From failing `/readyz` to taking no more connections, in milliseconds: what the balancer needs to notice. */
    readinessGraceMilliseconds: z.number().int().min(0).max(600_000).default(5_000)
  }).strict().prefault({})
}).strict()
export type EntrySettings = z.infer<typeof EntrySettings>
