/**
 * Processes of the system, as registered in the log.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Name } from './name.js'
import { SocketAddress } from './socket-address.js'

/** An entry or control process on an entry VM. */
export const Member = z.object({
  /** Name of the process, unchanged by restarts on the same VM. */
  id: Name,
  /** Identity of one run of the process; every restart gets a new one. */
  incarnation: z.string().min(1).max(64),
  role: z.enum(['entry', 'control']),
  availabilityZone: Name,
  /** Address that peers connect to. */
  address: SocketAddress,
  /** Entry VM that the process runs on, as the platform's list names it. */
  host: Name,
  /** Time of joining by its own clock. */
  joinedAt: EpochMilliseconds,
  /** Whether the platform's list has had the host since the process joined; one that it hasn't had yet may be new. */
  isHostListed: z.boolean().optional()
})
export type Member = z.infer<typeof Member>
