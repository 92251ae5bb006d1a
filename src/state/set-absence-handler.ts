/**
 * Decides `set-absence`.
 */
import type { Finding } from '../schemas/finding.js'
import type { VirtualMachineCommand } from '../schemas/virtual-machine-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { leaseFindings } from './lease-findings.js'

/** Records that a VM failed or came back, so that budgets count it. */
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
    const machine = state.virtualMachines.get(command.virtualMachine)
    if (!machine || machine.isAbsent === command.isAbsent) return
    const slowStart = state.pools.get(machine.value.pool)?.value.slowStartMilliseconds ?? 0
    state.virtualMachines.set(command.virtualMachine, {
      ...machine,
      isAbsent: command.isAbsent,
      version: context.offset,
      slowStartDeadline: command.isAbsent ? machine.slowStartDeadline : context.time + slowStart
    })
    state.configurationOffset = context.offset
  }
}
