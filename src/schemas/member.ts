/**
 * A process of the system, as registered in the log.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Name } from './name.js'
import { SocketAddress } from './socket-address.js'

/** An entry or control process on one entry VM. */
export const Member = z.object({
  /** Name of the process, stable over restarts of the same VM. */
  id: Name,
  /** One life of the process; a restart gets a new one. */
  incarnation: z.string().min(1).max(64),
  role: z.enum(['entry', 'control']),
  availabilityZone: Name,
  /** Where its peers reach it. */
  address: SocketAddress,
  /** Entry VM that the process runs on, as the platform's list names it. */
  host: Name,
  /** When it joined, by its own clock. */
  joinedAt: EpochMilliseconds
})
export type Member = z.infer<typeof Member>
