/**
 * VMs in the administration interface.
 */
import type { Command } from '../schemas/command.js'
import { VirtualMachine } from '../schemas/virtual-machine.js'
import type { FleetState } from '../state/fleet-state.js'
import { ObjectCollection } from './object-collection.js'
import type { ShownObject } from './shown-object.js'

/** Shows VMs with their phase and planned work. */
export class VirtualMachineCollection extends ObjectCollection<VirtualMachine> {
  override readonly name = 'vms'
  override readonly schema = VirtualMachine
  protected override readonly nameField = 'id'

  override list (state: FleetState): ShownObject[] {
    return [...state.virtualMachines.values()].map(({ value, version, phase, operation, isAbsent }) => ({
      name: value.id,
      version,
      document: { ...value, phase, operation, isAbsent }
    }))
  }

  protected override command (value: VirtualMachine, expectedVersion: number): Command {
    return { kind: 'put-virtual-machine', value, expectedVersion }
  }
}
