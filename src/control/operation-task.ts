/**
 * Advances the planned operations on VMs from phase to phase.
 */
import type { EndpointProber } from '../endpoints/endpoint-prober.js'
import type { Membership } from '../peers/membership.js'
import type { VirtualMachineControl } from './virtual-machine-control.js'
import type { LeaseProof } from '../schemas/lease-proof.js'
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import { DrainEvaluator } from './drain-evaluator.js'
import type { ControlContext } from './control-context.js'
import { LeasedTask } from './leased-task.js'

/** Time limit for one call to the platform, in milliseconds. */
const PLATFORM_TIMEOUT_MILLISECONDS = 2_000

/**
 * Takes each VM from draining (until no entry process has work on it) through rebooting (until its endpoint answers
 * for the new pool) to serving. The phase is read from the state at every step, so any control process can continue
 * an operation in any phase.
 */
export class OperationTask extends LeasedTask {
  override readonly name = 'operations'
  protected override readonly leaseName = 'operations'
  private readonly _drainEvaluator = new DrainEvaluator()

  constructor (
    context: ControlContext,
    private readonly _membership: Membership,
    private readonly _virtualMachineControl: VirtualMachineControl,
    private readonly _prober: EndpointProber
  ) {
    super(context)
  }

  protected override async step (proof: LeaseProof, signal: AbortSignal): Promise<void> {
    const inOperation = [...this.context.keeper.state.virtualMachines.values()].filter(virtualMachine => virtualMachine.operation)
    await Promise.all(inOperation.map(virtualMachine => this._advance(virtualMachine, proof, signal)))
  }

  private async _advance (virtualMachine: VirtualMachineState, proof: LeaseProof, signal: AbortSignal): Promise<void> {
    if (virtualMachine.phase === 'draining' && await this._isIdle(virtualMachine)) await this._advancePhase(virtualMachine, 'rebooting', proof)
    if (virtualMachine.phase === 'rebooting' && await this._isRebooted(virtualMachine, signal)) await this._advancePhase(virtualMachine, 'serving', proof)
  }

  /** Whether all entry processes report no work on the VM, and the endpoint reports none either if it responds at all. */
  private async _isIdle (virtualMachine: VirtualMachineState): Promise<boolean> {
    const { keeper, clock } = this.context
    const contactOf = (member: string) => ({ latestStatus: this._membership.statusOf(member), lastContactAt: this._membership.lastContactAt(member) })
    if (this._drainEvaluator.blockers(keeper.state, virtualMachine, contactOf, clock.now()).length > 0) return false
    const health = await this._prober.probe(virtualMachine.value.address)
    return health.map(({ running }) => running.length === 0).orDefault(true)
  }

  /** Orders the reboot, which the platform performs once for each intent, and checks that the endpoint answers for the new pool. */
  private async _isRebooted (virtualMachine: VirtualMachineState, signal: AbortSignal): Promise<boolean> {
    const { clock } = this.context
    const { id, pool, address } = virtualMachine.value
    const intentId = virtualMachine.operation?.intentId ?? ''
    const outcome = await this._virtualMachineControl.reboot(id, intentId, pool, clock.now() + PLATFORM_TIMEOUT_MILLISECONDS, signal)
    if (!outcome.orDefault(false)) return false
    const health = await this._prober.probe(address)
    return health.map(response => response.virtualMachine === id && response.pool === pool).orDefault(false)
  }

  private async _advancePhase (virtualMachine: VirtualMachineState, toPhase: 'rebooting' | 'serving', proof: LeaseProof): Promise<void> {
    const intentId = virtualMachine.operation?.intentId ?? ''
    this.context.metrics.count('control.operations', 1, toPhase)
    await this.submit({ kind: 'advance-operation', virtualMachine: virtualMachine.value.id, intentId, toPhase, proof }, 'operations')
  }
}
