/**
 * Handler of the `put-virtual-machine` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { PutCommand } from '../schemas/put-command.js'
import type { VirtualMachine } from '../schemas/virtual-machine.js'
import type { FleetState } from './fleet-state.js'
import { PutHandler } from './put-handler.js'

/** Registers a VM or replaces its address, rack or zone. Only a move changes the pool of a registered VM. */
export class PutVirtualMachineHandler extends PutHandler<'put-virtual-machine'> {
  override readonly kind = 'put-virtual-machine'

  protected override versionOf (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-virtual-machine' }>): number {
    return state.virtualMachines.get(value.id)?.version ?? 0
  }

  protected override store (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-virtual-machine' }>, version: number): void {
    const existing = state.virtualMachines.get(value.id)
    if (existing) {
      state.virtualMachines.set(value.id, { ...existing, value, version })
      return
    }
    state.virtualMachines.set(value.id, {
      value,
      version,
      phase: 'serving',
      operation: null,
      isAbsent: false,
      phaseDeadline: 0,
      slowStartDeadline: 0
    })
  }

  protected override checkReferences (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-virtual-machine' }>): Finding[] {
    const findings: Finding[] = []
    const existing = state.virtualMachines.get(value.id)
    if (!state.pools.has(value.pool)) {
      findings.push({ path: '$.pool', code: 'not-found', message: `pool ${value.pool} does not exist` })
    }
    if (existing && existing.value.pool !== value.pool) {
      findings.push({ path: '$.pool', code: 'state', message: `is in pool ${existing.value.pool}; use a move to change it` })
    }
    if (this._isAddressTaken(state, value)) {
      findings.push({ path: '$.address', code: 'in-use', message: 'another VM has this address' })
    }
    return findings
  }

  private _isAddressTaken (state: FleetState, value: VirtualMachine): boolean {
    for (const { value: other } of state.virtualMachines.values()) {
      if (other.id === value.id) continue
      if (other.address.host === value.address.host && other.address.port === value.address.port) return true
    }
    return false
  }
}
