/**
 * Handler of the `set-absence` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { VirtualMachineCommand } from '../schemas/virtual-machine-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { leaseFindings } from './lease-findings.js'

/** Records that a VM failed or recovered, so that availability budgets account for it. */
export class SetAbsenceHandler extends CommandHandler<'set-absence'> {
  override readonly kind = 'set-absence'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<VirtualMachineCommand, { kind: 'set-absence' }>, _context: FoldContext): Finding[] {
    if (!state.virtualMachines.has(command.virtualMachine)) {
      return [{ path: '$.virtualMachine', code: 'not-found', message: `VM ${command.virtualMachine} does not exist` }]
    }
    return leaseFindings(state, command.proof)
  }

  override apply (state: FleetState, command: Extract<VirtualMachineCommand, { kind: 'set-absence' }>, context: FoldContext): void {
    const virtualMachine = state.virtualMachines.get(command.virtualMachine)
    if (!virtualMachine || virtualMachine.isAbsent === command.isAbsent) return
    const slowStart = state.pools.get(virtualMachine.value.pool)?.value.slowStartMilliseconds ?? 0
    state.virtualMachines.set(command.virtualMachine, {
      ...virtualMachine,
      isAbsent: command.isAbsent,
      version: context.offset,
      slowStartDeadline: command.isAbsent ? virtualMachine.slowStartDeadline : context.time + slowStart
    })
    state.configurationOffset = context.offset
  }
}
