/**
 * Carries planned work on VMs from step to step.
 */
import type { EndpointProber } from '../endpoints/endpoint-prober.js'
import type { Membership } from '../peers/membership.js'
import type { VirtualMachineControl } from './virtual-machine-control.js'
import type { LeaseProof } from '../schemas/lease-proof.js'
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import { DrainEvaluator } from './drain-evaluator.js'
import type { ControlContext } from './control-context.js'
import { LeasedTask } from './leased-task.js'

/** Limit on one call to the platform, in milliseconds. */
const PLATFORM_TIMEOUT_MILLISECONDS = 2_000

/**
 * Draining → idle everywhere → reboot → answers as the new pool → serving. Each step reads
 * where the VM stands from the state, so any control process can go on from any step.
 */
export class OperationTask extends LeasedTask {
  override readonly name = 'operations'
  protected override readonly lease = 'operations'
  private readonly _judgement = new DrainEvaluator()

  constructor (
    parts: ControlContext,
    private readonly _membership: Membership,
    private readonly _control: VirtualMachineControl,
    private readonly _prober: EndpointProber
  ) {
    super(parts)
  }

  protected override async step (proof: LeaseProof, signal: AbortSignal): Promise<void> {
    const open = [...this.parts.keeper.state.virtualMachines.values()].filter(machine => machine.operation)
    await Promise.all(open.map(machine => this._advance(machine, proof, signal)))
  }

  private async _advance (machine: VirtualMachineState, proof: LeaseProof, signal: AbortSignal): Promise<void> {
    if (machine.phase === 'draining' && await this._isIdle(machine)) await this._carryOn(machine, 'rebooting', proof)
    if (machine.phase === 'rebooting' && await this._isBack(machine, signal)) await this._carryOn(machine, 'serving', proof)
  }

  /** The entry processes say so, and the endpoint itself says so if it answers at all. */
  private async _isIdle (machine: VirtualMachineState): Promise<boolean> {
    const { keeper, clock } = this.parts
    const hear = (member: string) => ({ entry: this._membership.statusOf(member), lastContactAt: this._membership.heardAt(member) })
    if (this._judgement.blockers(keeper.state, machine, hear, clock.now()).length > 0) return false
    const health = await this._prober.probe(machine.value.address)
    return health.map(({ running }) => running.length === 0).orDefault(true)
  }

  private async _isBack (machine: VirtualMachineState, signal: AbortSignal): Promise<boolean> {
    const { clock } = this.parts
    const { id, pool, address } = machine.value
    const intentId = machine.operation?.intentId ?? ''
    const rebooted = await this._control.reboot(id, intentId, pool, clock.now() + PLATFORM_TIMEOUT_MILLISECONDS, signal)
    if (!rebooted.orDefault(false)) return false
    const health = await this._prober.probe(address)
    return health.map(answer => answer.virtualMachine === id && answer.pool === pool).orDefault(false)
  }

  private async _carryOn (machine: VirtualMachineState, toPhase: 'rebooting' | 'serving', proof: LeaseProof): Promise<void> {
    const intentId = machine.operation?.intentId ?? ''
    this.parts.metrics.count('control.operations', 1, toPhase)
    await this.submit({ kind: 'advance-operation', virtualMachine: machine.value.id, intentId, toPhase, proof }, 'operations')
  }
}
