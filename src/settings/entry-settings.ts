/**
 * Settings of `samphireglade-entry`.
 */
import * as z from 'zod'
import { SocketAddress } from '../schemas/socket-address.js'
import { CommonSettings } from './common-settings.js'

/** The settings file of an entry daemon. */
export const EntrySettings = CommonSettings.extend({
  callers: z.object({
    /** Address to listen on for callers, which connect through the load balancer. */
    address: SocketAddress
  }).strict(),
  stop: z.object({
    /** Time from the first failing `/readyz` response until the listener closes, in milliseconds; the load balancer needs it to react. */
    readinessGraceMilliseconds: z.number().int().min(0).max(600_000).default(5_000)
  }).strict().prefault({})
}).strict()
export type EntrySettings = z.infer<typeof EntrySettings>
