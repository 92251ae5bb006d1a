/**
 * VMs in the administration interface.
 */
import type { Command } from '../schemas/command.js'
import { VirtualMachine } from '../schemas/virtual-machine.js'
import type { FleetState } from '../state/fleet-state.js'
import { ObjectCollection } from './object-collection.js'
import type { ObjectView } from './object-view.js'

/** Shows VMs with their phase, their operation and whether they are absent. */
export class VirtualMachineCollection extends ObjectCollection<VirtualMachine> {
  override readonly name = 'vms'
  override readonly schema = VirtualMachine
  protected override readonly nameField = 'id'

  override list (state: FleetState): ObjectView[] {
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
