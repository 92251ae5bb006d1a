/**
 * Agrees on VMs that failed unplanned.
 */
import type { EndpointProber } from '../endpoints/endpoint-prober.js'
import type { Membership } from '../peers/membership.js'
import type { LeaseProof } from '../schemas/lease-proof.js'
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import type { ControlContext } from './control-context.js'
import { LeasedTask } from './leased-task.js'

/** Observers, this process among them, that must fail to reach a VM. */
const OBSERVERS = 2

/** VMs probed in one step. */
const PROBES_PER_STEP = 10

/** Failed probes of this process, in a row, that count as an observation. */
const FAILED_PROBES = 3

/**
 * Probes all VMs in turn, suspected and absent ones first. A VM is absent when this
 * process and at least one entry process cannot reach it; one observer's broken network
 * takes nothing away from the others.
 */
export class AbsenceTask extends LeasedTask {
  override readonly name = 'absence'
  protected override readonly lease = 'absence'
  protected override readonly stepMilliseconds = 1_000
  private readonly _failures = new Map<string, number>()
  private _next = 0

  constructor (
    parts: ControlContext,
    private readonly _membership: Membership,
    private readonly _prober: EndpointProber
  ) {
    super(parts)
  }

  protected override async step (proof: LeaseProof, _signal: AbortSignal): Promise<void> {
    const suspicions = this._suspicions()
    await Promise.all(this._turn(suspicions).map(machine => this._examine(machine, suspicions, proof)))
  }

  private async _examine (machine: VirtualMachineState, suspicions: ReadonlyMap<string, number>, proof: LeaseProof): Promise<void> {
    const { id, address } = machine.value
    const health = await this._prober.probe(address)
    const isWell = health.map(answer => answer.virtualMachine === id).orDefault(false)
    if (isWell) this._failures.delete(id)
    else this._failures.set(id, (this._failures.get(id) ?? 0) + 1)
    if (isWell && machine.isAbsent) await this.submit({ kind: 'set-absence', virtualMachine: id, isAbsent: false, proof }, 'operations')
    if (!isWell && !machine.isAbsent && this._isAgreed(id, suspicions)) await this.submit({ kind: 'set-absence', virtualMachine: id, isAbsent: true, proof }, 'operations')
  }

  private _isAgreed (id: string, suspicions: ReadonlyMap<string, number>): boolean {
    if ((this._failures.get(id) ?? 0) < FAILED_PROBES) return false
    return 1 + (suspicions.get(id) ?? 0) >= OBSERVERS
  }

  /** Number of entry processes that cannot reach each VM. */
  private _suspicions (): Map<string, number> {
    const suspicions = new Map<string, number>()
    for (const entry of this._membership.reachableEntryStatuses()) {
      for (const id of entry.suspectedVirtualMachines ?? []) suspicions.set(id, (suspicions.get(id) ?? 0) + 1)
    }
    return suspicions
  }

  /** Those in doubt, then as many of the others as there is room for. */
  private _turn (suspicions: ReadonlyMap<string, number>): VirtualMachineState[] {
    const machines = [...this.parts.keeper.state.virtualMachines.values()].filter(machine => machine.phase === 'serving')
    const urgent = machines.filter(({ value, isAbsent }) => isAbsent || suspicions.has(value.id) || this._failures.has(value.id))
    const room = Math.max(0, PROBES_PER_STEP - urgent.length)
    const start = machines.length > 0 ? this._next % machines.length : 0
    this._next = start + room
    const others = [...machines.slice(start), ...machines.slice(0, start)].slice(0, room)
    return [...new Set([...urgent.slice(0, PROBES_PER_STEP), ...others])]
  }
}
