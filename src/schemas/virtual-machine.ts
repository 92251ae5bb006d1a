/**
 * A VM: an endpoint that serves the queues of its pool.
 */
import * as z from 'zod'
import { Name } from './name.js'
import { SocketAddress } from './socket-address.js'

/** What operators register of a VM. Its pool changes by a move only. */
export const VirtualMachine = z.object({
  id: Name,
  pool: Name,
  availabilityZone: Name,
  rack: Name,
  address: SocketAddress
}).strict()
export type VirtualMachine = z.infer<typeof VirtualMachine>
