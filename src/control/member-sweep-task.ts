/**
 * Removes processes whose VMs no longer exist from the member set and returns grants of ended processes.
 */
import type { Membership } from '../peers/membership.js'
import type { VirtualMachineControl } from './virtual-machine-control.js'
import type { Holder } from '../schemas/holder.js'
import type { LeaseProof } from '../schemas/lease-proof.js'
import type { VirtualMachineListing } from '../schemas/virtual-machine-listing.js'
import { FleetState } from '../state/fleet-state.js'
import type { ControlContext } from './control-context.js'
import { LeasedTask } from './leased-task.js'

/** Consecutive platform lists from which a VM that was listed before must be missing. */
const REQUIRED_MISSING_LISTS = 3

/** Time without contact with the process that is required as well, in milliseconds. */
const REQUIRED_SILENCE_MILLISECONDS = 10_000

/** Time limit for one call to the platform, in milliseconds. */
const PLATFORM_TIMEOUT_MILLISECONDS = 2_000

/**
 * A process counts as ended only if its VM was on the platform's list, has been missing from several lists in a row,
 * and the process has not been in contact. The list lags, so a VM that was never listed may be new. A process that is
 * only cut off stays a member and keeps its grants.
 */
export class MemberSweepTask extends LeasedTask {
  override readonly name = 'member-sweep'
  protected override readonly leaseName = 'member-sweep'
  protected override readonly stepIntervalMilliseconds = 2_000
  /** Epoch milliseconds since which this process has watched the members; 0 before. */
  private _watchingSince = 0
  private readonly _missingCounts = new Map<string, number>()

  constructor (
    context: ControlContext,
    private readonly _membership: Membership,
    private readonly _virtualMachineControl: VirtualMachineControl
  ) {
    super(context)
  }

  protected override async step (_proof: LeaseProof, signal: AbortSignal): Promise<void> {
    const { clock } = this.context
    const listing = await this._virtualMachineControl.list(clock.now() + PLATFORM_TIMEOUT_MILLISECONDS, signal)
    if (listing.isRight()) await this._sweep(listing.extract() as VirtualMachineListing)
    await this._returnExpiredGrants()
  }

  private async _sweep (listing: VirtualMachineListing): Promise<void> {
    const now = this.context.clock.now()
    if (this._watchingSince === 0) this._watchingSince = now
    const listed = new Set(listing.virtualMachines.map(virtualMachine => virtualMachine.id))
    for (const member of [...this.context.keeper.state.members.values()]) {
      const holder = { member: member.id, incarnation: member.incarnation }
      if (listed.has(member.host) || !member.isHostListed) {
        this._missingCounts.delete(member.id)
        // The next holder of the lease has to know it as well.
        if (listed.has(member.host) && !member.isHostListed) await this.submit({ kind: 'confirm-host', holder }, 'members')
        continue
      }
      const missingCount = (this._missingCounts.get(member.id) ?? 0) + 1
      this._missingCounts.set(member.id, missingCount)
      const isSilent = Math.max(this._watchingSince, this._membership.lastContactAt(member.id)) < now - REQUIRED_SILENCE_MILLISECONDS
      if (missingCount < REQUIRED_MISSING_LISTS || !isSilent || member.id === this._membership.self.id) continue
      await this.submit({ kind: 'end-member', holder, reason: 'gone' }, 'members')
    }
  }

  private async _returnExpiredGrants (): Promise<void> {
    const { keeper, clock } = this.context
    const expiredHolders = new Map<string, Holder>()
    for (const grants of keeper.state.grants.values()) {
      for (const grant of grants.values()) {
        if (grant.returnDeadline !== null && grant.returnDeadline <= clock.now()) expiredHolders.set(FleetState.holderKey(grant.holder), grant.holder)
      }
    }
    for (const holder of expiredHolders.values()) await this.submit({ kind: 'return-grants', holder }, 'members')
  }
}
