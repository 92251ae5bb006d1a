/**
 * The check of a pool's availability budget.
 */
import type { Finding } from '../schemas/finding.js'
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import type { FleetState } from './fleet-state.js'

/**
 * Whether planned work may take a VM out of service.
 *
 * The budget counts VMs that serve, so planned and unplanned absence weigh the same. A VM
 * that doesn't serve anyway costs nothing.
 */
export function budgetFindings (state: FleetState, machine: VirtualMachineState): Finding[] {
  if (!state.isServing(machine)) return []
  const { pool } = machine.value
  const remaining = state.servingVirtualMachines(pool).length - 1
  const minimum = state.minimumServing(pool)
  if (remaining >= minimum) return []
  return [{
    path: '$.virtualMachine',
    code: 'budget',
    message: `would leave ${remaining} VMs serving in pool ${pool}; its availability budget asks for ${minimum}`
  }]
}
