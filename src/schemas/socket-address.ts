/**
 * Addresses that processes listen on. Host names aren't allowed, because the system makes no DNS lookups.
 */
import * as z from 'zod'

/** An IP address and a port. */
export const SocketAddress = z.object({
  /** IPv4 or IPv6 address. */
  host: z.union([z.ipv4(), z.ipv6()]),
  /** TCP port. */
  port: z.number().int().min(1).max(65_535)
}).strict()
export type SocketAddress = z.infer<typeof SocketAddress>
