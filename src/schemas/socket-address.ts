/**
 * Where a process listens. IP numbers only: the system looks up no names.
 */
import * as z from 'zod'

/** An IP number and a port. */
export const SocketAddress = z.object({
  /** IPv4 or IPv6 number. */
  host: z.union([z.ipv4(), z.ipv6()]),
  /** TCP port. */
  port: z.number().int().min(1).max(65_535)
}).strict()
export type SocketAddress = z.infer<typeof SocketAddress>
