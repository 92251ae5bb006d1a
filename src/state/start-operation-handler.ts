/**
 * Handler of the `start-operation` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { VirtualMachineCommand } from '../schemas/virtual-machine-command.js'
import { budgetFindings } from './budget-findings.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { leaseFindings } from './lease-findings.js'
import { versionFinding } from './version-finding.js'

/** Time that a drain may take beyond the longest request timeout. */
const DRAIN_GRACE_PERIOD_MILLISECONDS = 30_000

/** Starts a move or maintenance of a VM, which begins to drain at this offset. */
export class StartOperationHandler extends CommandHandler<'start-operation'> {
  override readonly kind = 'start-operation'

  override check (state: FleetState, command: Extract<VirtualMachineCommand, { kind: 'start-operation' }>, _context: FoldContext): Finding[] {
    const virtualMachine = state.virtualMachines.get(command.virtualMachine)
    if (!virtualMachine) return [{ path: '$.virtualMachine', code: 'not-found', message: `VM ${command.virtualMachine} does not exist` }]
    const findings = versionFinding('$.virtualMachine', command.expectedVersion, virtualMachine.version)
    if (virtualMachine.operation) {
      findings.push({ path: '$.virtualMachine', code: 'state', message: `has a ${virtualMachine.operation.kind} under way` })
    }
    const { kind, toPool } = command.operation
    if (!state.pools.has(toPool)) findings.push({ path: '$.toPool', code: 'not-found', message: `pool ${toPool} does not exist` })
    if (kind === 'move' && toPool === virtualMachine.value.pool) {
      findings.push({ path: '$.toPool', code: 'state', message: `VM is in pool ${toPool} already` })
    }
    if (kind === 'maintenance' && toPool !== virtualMachine.value.pool) {
      findings.push({ path: '$.toPool', code: 'invalid', message: 'maintenance leaves a VM in its pool' })
    }
    if (command.proof) findings.push(...leaseFindings(state, command.proof))
    return [...findings, ...budgetFindings(state, virtualMachine)]
  }

  override apply (state: FleetState, command: Extract<VirtualMachineCommand, { kind: 'start-operation' }>, context: FoldContext): void {
    const virtualMachine = state.virtualMachines.get(command.virtualMachine)
    if (!virtualMachine) return
    state.virtualMachines.set(command.virtualMachine, {
      ...virtualMachine,
      version: context.offset,
      phase: 'draining',
      phaseDeadline: context.time + state.longestTimeoutMilliseconds + DRAIN_GRACE_PERIOD_MILLISECONDS,
      operation: command.operation
    })
    state.configurationOffset = context.offset
  }
}
