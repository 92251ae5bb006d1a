/**
 * Decides `start-operation`.
 */
import type { Finding } from '../schemas/finding.js'
import type { VirtualMachineCommand } from '../schemas/virtual-machine-command.js'
import { budgetFindings } from './budget-findings.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { leaseFindings } from './lease-findings.js'
import { versionFinding } from './version-finding.js'

/** Time beyond the longest request that a drain may take, in milliseconds. */
const DRAIN_ALLOWANCE_MILLISECONDS = 30_000

/** Starts a move or maintenance: the VM drains from this offset on. */
export class StartOperationHandler extends CommandHandler<'start-operation'> {
  override readonly kind = 'start-operation'

  override check (state: FleetState, command: Extract<VirtualMachineCommand, { kind: 'start-operation' }>, _context: FoldContext): Finding[] {
    const machine = state.virtualMachines.get(command.virtualMachine)
    if (!machine) return [{ path: '$.virtualMachine', code: 'not-found', message: `VM ${command.virtualMachine} does not exist` }]
    const findings = versionFinding('$.virtualMachine', command.expectedVersion, machine.version)
    if (machine.operation) {
      findings.push({ path: '$.virtualMachine', code: 'state', message: `has a ${machine.operation.kind} under way` })
    }
    const { kind, toPool } = command.operation
    if (!state.pools.has(toPool)) findings.push({ path: '$.toPool', code: 'not-found', message: `pool ${toPool} does not exist` })
    if (kind === 'move' && toPool === machine.value.pool) {
      findings.push({ path: '$.toPool', code: 'state', message: `VM is in pool ${toPool} already` })
    }
    if (kind === 'maintenance' && toPool !== machine.value.pool) {
      findings.push({ path: '$.toPool', code: 'invalid', message: 'maintenance leaves a VM in its pool' })
    }
    if (command.proof) findings.push(...leaseFindings(state, command.proof))
    return [...findings, ...budgetFindings(state, machine)]
  }

  override apply (state: FleetState, command: Extract<VirtualMachineCommand, { kind: 'start-operation' }>, context: FoldContext): void {
    const machine = state.virtualMachines.get(command.virtualMachine)
    if (!machine) return
    state.virtualMachines.set(command.virtualMachine, {
      ...machine,
      version: context.offset,
      phase: 'draining',
      phaseDeadline: context.time + state.longestTimeoutMilliseconds + DRAIN_ALLOWANCE_MILLISECONDS,
      operation: command.operation
    })
    state.configurationOffset = context.offset
  }
}
