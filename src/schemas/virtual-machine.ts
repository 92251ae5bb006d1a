/**
 * VMs: endpoints that serve the queues of their pool.
 */
import * as z from 'zod'
import { Name } from './name.js'
import { SocketAddress } from './socket-address.js'

/** The fields of a VM that operators register. Only a move changes its pool. */
export const VirtualMachine = z.object({
  id: Name,
  pool: Name,
  availabilityZone: Name,
  rack: Name,
  address: SocketAddress
}).strict()
export type VirtualMachine = z.infer<typeof VirtualMachine>
