/**
 * Detects VMs that failed unplanned and records their absence in the log.
 */
import type { EndpointProber } from '../endpoints/endpoint-prober.js'
import type { Membership } from '../peers/membership.js'
import type { LeaseProof } from '../schemas/lease-proof.js'
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import type { ControlContext } from './control-context.js'
import { LeasedTask } from './leased-task.js'

/** Processes, including this one, that must find a VM unreachable before it counts as absent. */
const REQUIRED_OBSERVERS = 2

/** Limit on VMs probed in one step. */
const MAXIMUM_PROBES_PER_STEP = 10

/** Consecutive failed probes after which this process considers a VM unreachable. */
const REQUIRED_FAILED_PROBES = 3

/**
 * Probes all VMs in turn, suspected and absent ones first. A VM counts as absent when this process and at least one
 * entry process cannot reach it, so that a network fault at a single observer removes no VM from service.
 */
export class AbsenceTask extends LeasedTask {
  override readonly name = 'absence'
  protected override readonly leaseName = 'absence'
  protected override readonly stepIntervalMilliseconds = 1_000
  private readonly _consecutiveFailures = new Map<string, number>()
  private _nextIndex = 0

  constructor (
    context: ControlContext,
    private readonly _membership: Membership,
    private readonly _prober: EndpointProber
  ) {
    super(context)
  }

  protected override async step (proof: LeaseProof, _signal: AbortSignal): Promise<void> {
    const suspicions = this._countSuspicions()
    await Promise.all(this._selectForProbing(suspicions).map(virtualMachine => this._probe(virtualMachine, suspicions, proof)))
  }

  private async _probe (virtualMachine: VirtualMachineState, suspicions: ReadonlyMap<string, number>, proof: LeaseProof): Promise<void> {
    const { id, address } = virtualMachine.value
    const health = await this._prober.probe(address)
    const isHealthy = health.map(response => response.virtualMachine === id).orDefault(false)
    if (isHealthy) this._consecutiveFailures.delete(id)
    else this._consecutiveFailures.set(id, (this._consecutiveFailures.get(id) ?? 0) + 1)
    if (isHealthy && virtualMachine.isAbsent) await this.submit({ kind: 'set-absence', virtualMachine: id, isAbsent: false, proof }, 'operations')
    if (!isHealthy && !virtualMachine.isAbsent && this._isConfirmedUnreachable(id, suspicions)) await this.submit({ kind: 'set-absence', virtualMachine: id, isAbsent: true, proof }, 'operations')
  }

  private _isConfirmedUnreachable (id: string, suspicions: ReadonlyMap<string, number>): boolean {
    if ((this._consecutiveFailures.get(id) ?? 0) < REQUIRED_FAILED_PROBES) return false
    return 1 + (suspicions.get(id) ?? 0) >= REQUIRED_OBSERVERS
  }

  /** Number of entry processes that suspect each VM. */
  private _countSuspicions (): Map<string, number> {
    const suspicions = new Map<string, number>()
    for (const status of this._membership.reachableEntryStatuses()) {
      for (const id of status.suspectedVirtualMachines ?? []) suspicions.set(id, (suspicions.get(id) ?? 0) + 1)
    }
    return suspicions
  }

  /** VMs to probe in this step: absent, suspected and failing ones first, then the others in turn. */
  private _selectForProbing (suspicions: ReadonlyMap<string, number>): VirtualMachineState[] {
    const virtualMachines = [...this.context.keeper.state.virtualMachines.values()].filter(virtualMachine => virtualMachine.phase === 'serving')
    const prioritized = virtualMachines.filter(({ value, isAbsent }) => isAbsent || suspicions.has(value.id) || this._consecutiveFailures.has(value.id))
    const probesLeft = Math.max(0, MAXIMUM_PROBES_PER_STEP - prioritized.length)
    const start = virtualMachines.length > 0 ? this._nextIndex % virtualMachines.length : 0
    this._nextIndex = start + probesLeft
    const others = [...virtualMachines.slice(start), ...virtualMachines.slice(0, start)].slice(0, probesLeft)
    return [...new Set([...prioritized.slice(0, MAXIMUM_PROBES_PER_STEP), ...others])]
  }
}
