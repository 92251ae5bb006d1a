/**
 * Clients of the platform's services.
 */
import type { FleetVirtualMachineControl } from '../capacity/fleet-virtual-machine-control.js'
import type { Advisor } from '../placement/advisor.js'
import type { CallClient } from '../platform/call-client.js'
import type { Dialer } from '../platform/dialer.js'

/** Through what a process calls the platform; null for services that the deployment doesn't have. */
export interface PlatformClients {
  readonly dialer: Dialer
  readonly store: CallClient
  readonly virtualMachineControl: FleetVirtualMachineControl | null
  readonly advisor: Advisor | null
}
