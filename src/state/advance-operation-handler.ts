/**
 * Handler of the `advance-operation` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { VirtualMachineCommand } from '../schemas/virtual-machine-command.js'
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { leaseFindings } from './lease-findings.js'

/** Longest time from the reboot order until the VM responds to its probe. */
const REBOOT_TIMEOUT_MILLISECONDS = 300_000

/**
 * Advances planned work on a VM: draining → rebooting → serving, or draining → serving if
 * the work is cancelled. A move changes the pool at the offset of the reboot, so that a VM
 * belongs to exactly one pool at every offset.
 */
export class AdvanceOperationHandler extends CommandHandler<'advance-operation'> {
  override readonly kind = 'advance-operation'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<VirtualMachineCommand, { kind: 'advance-operation' }>, _context: FoldContext): Finding[] {
    const virtualMachine = state.virtualMachines.get(command.virtualMachine)
    if (!virtualMachine) return [{ path: '$.virtualMachine', code: 'not-found', message: `VM ${command.virtualMachine} does not exist` }]
    const findings = leaseFindings(state, command.proof)
    if (virtualMachine.operation?.intentId !== command.intentId) {
      findings.push({ path: '$.intentId', code: 'state', message: 'is not the work under way' })
    }
    if (command.toPhase === 'rebooting' && virtualMachine.phase !== 'draining') {
      findings.push({ path: '$.toPhase', code: 'state', message: `VM is ${virtualMachine.phase}, not draining` })
    }
    return findings
  }

  override apply (state: FleetState, command: Extract<VirtualMachineCommand, { kind: 'advance-operation' }>, context: FoldContext): void {
    const virtualMachine = state.virtualMachines.get(command.virtualMachine)
    if (!virtualMachine?.operation) return
    const next = command.toPhase === 'rebooting'
      ? this._rebootingState(virtualMachine, context)
      : this._servingState(state, virtualMachine, context)
    state.virtualMachines.set(command.virtualMachine, next)
    state.configurationOffset = context.offset
  }

  private _rebootingState (virtualMachine: VirtualMachineState, context: FoldContext): VirtualMachineState {
    const pool = virtualMachine.operation?.toPool ?? virtualMachine.value.pool
    return {
      ...virtualMachine,
      value: { ...virtualMachine.value, pool },
      version: context.offset,
      phase: 'rebooting',
      phaseDeadline: context.time + REBOOT_TIMEOUT_MILLISECONDS
    }
  }

  private _servingState (state: FleetState, virtualMachine: VirtualMachineState, context: FoldContext): VirtualMachineState {
    const isCompleted = virtualMachine.phase === 'rebooting'
    if (isCompleted) this._recordInWave(state, virtualMachine, context)
    const slowStart = state.pools.get(virtualMachine.value.pool)?.value.slowStartMilliseconds ?? 0
    return {
      ...virtualMachine,
      version: context.offset,
      phase: 'serving',
      operation: null,
      phaseDeadline: 0,
      isAbsent: isCompleted ? false : virtualMachine.isAbsent,
      slowStartDeadline: isCompleted ? context.time + slowStart : virtualMachine.slowStartDeadline
    }
  }

  private _recordInWave (state: FleetState, virtualMachine: VirtualMachineState, context: FoldContext): void {
    const wave = state.waves.get(virtualMachine.operation?.wave ?? '')
    if (!wave || wave.done.includes(virtualMachine.value.id)) return
    state.waves.set(wave.name, { ...wave, done: [...wave.done, virtualMachine.value.id], version: context.offset })
  }
}
