/**
 * Decides `advance-operation`.
 */
import type { Finding } from '../schemas/finding.js'
import type { VirtualMachineCommand } from '../schemas/virtual-machine-command.js'
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { leaseFindings } from './lease-findings.js'

/** Time that a VM may take from the order to reboot until it answers its probe, in milliseconds. */
const REBOOT_LIMIT_MILLISECONDS = 300_000

/**
 * Carries planned work on: draining → rebooting → serving, or draining → serving when it
 * is cancelled. The pool changes at the offset of the reboot, so that a VM is in exactly
 * one pool at every offset.
 */
export class AdvanceOperationHandler extends CommandHandler<'advance-operation'> {
  override readonly kind = 'advance-operation'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<VirtualMachineCommand, { kind: 'advance-operation' }>, _context: FoldContext): Finding[] {
    const machine = state.virtualMachines.get(command.virtualMachine)
    if (!machine) return [{ path: '$.virtualMachine', code: 'not-found', message: `VM ${command.virtualMachine} does not exist` }]
    const findings = leaseFindings(state, command.proof)
    if (machine.operation?.intentId !== command.intentId) {
      findings.push({ path: '$.intentId', code: 'state', message: 'is not the work under way' })
    }
    if (command.toPhase === 'rebooting' && machine.phase !== 'draining') {
      findings.push({ path: '$.toPhase', code: 'state', message: `VM is ${machine.phase}, not draining` })
    }
    return findings
  }

  override apply (state: FleetState, command: Extract<VirtualMachineCommand, { kind: 'advance-operation' }>, context: FoldContext): void {
    const machine = state.virtualMachines.get(command.virtualMachine)
    if (!machine?.operation) return
    const next = command.toPhase === 'rebooting'
      ? this._reboot(machine, context)
      : this._serve(state, machine, context)
    state.virtualMachines.set(command.virtualMachine, next)
    state.configurationOffset = context.offset
  }

  private _reboot (machine: VirtualMachineState, context: FoldContext): VirtualMachineState {
    const pool = machine.operation?.toPool ?? machine.value.pool
    return { ...machine, value: { ...machine.value, pool }, version: context.offset, phase: 'rebooting', phaseDeadline: context.time + REBOOT_LIMIT_MILLISECONDS }
  }

  private _serve (state: FleetState, machine: VirtualMachineState, context: FoldContext): VirtualMachineState {
    const isDone = machine.phase === 'rebooting'
    if (isDone) this._recordInWave(state, machine, context)
    const slowStart = state.pools.get(machine.value.pool)?.value.slowStartMilliseconds ?? 0
    return {
      ...machine,
      version: context.offset,
      phase: 'serving',
      operation: null,
      phaseDeadline: 0,
      isAbsent: isDone ? false : machine.isAbsent,
      slowStartDeadline: isDone ? context.time + slowStart : machine.slowStartDeadline
    }
  }

  private _recordInWave (state: FleetState, machine: VirtualMachineState, context: FoldContext): void {
    const wave = state.waves.get(machine.operation?.wave ?? '')
    if (!wave || wave.done.includes(machine.value.id)) return
    state.waves.set(wave.name, { ...wave, done: [...wave.done, machine.value.id], version: context.offset })
  }
}
