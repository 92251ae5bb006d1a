/**
 * Check of a pool's availability budget.
 */
import type { Finding } from '../schemas/finding.js'
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import type { FleetState } from './fleet-state.js'

/**
 * Checks whether planned work may take a VM out of service; an empty result allows it.
 *
 * The budget is the minimum number of serving VMs, so planned and unplanned absence count
 * the same. A VM that isn't serving can always be taken.
 */
export function budgetFindings (state: FleetState, virtualMachine: VirtualMachineState): Finding[] {
  if (!state.isServing(virtualMachine)) return []
  const { pool } = virtualMachine.value
  const remaining = state.servingVirtualMachines(pool).length - 1
  const minimum = state.minimumServing(pool)
  if (remaining >= minimum) return []
  return [{
    path: '$.virtualMachine',
    code: 'budget',
    message: `would leave ${remaining} VMs serving in pool ${pool}; its availability budget asks for ${minimum}`
  }]
}
