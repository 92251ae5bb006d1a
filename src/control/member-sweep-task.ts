/**
 * Takes processes that are gone out of the member set and brings their grants back.
 */
import type { Membership } from '../peers/membership.js'
import type { VirtualMachineControl } from './virtual-machine-control.js'
import type { Holder } from '../schemas/holder.js'
import type { LeaseProof } from '../schemas/lease-proof.js'
import type { VirtualMachineListing } from '../schemas/virtual-machine-listing.js'
import { FleetState } from '../state/fleet-state.js'
import type { ControlContext } from './control-context.js'
import { LeasedTask } from './leased-task.js'

/** Lists in a row that must lack a VM that earlier ones had. */
const MISSING_LISTS = 3

/** Silence towards this process that must come on top, in milliseconds. */
const SILENCE_MILLISECONDS = 10_000

/** Limit on one call to the platform, in milliseconds. */
const PLATFORM_TIMEOUT_MILLISECONDS = 2_000

/**
 * A process has ended only if the platform's list, which had its VM, has lacked it several
 * times and nobody hears of it. The list lags, so a VM that was never listed may be new.
 * A process that is merely cut off stays a member and keeps its grants.
 */
export class MemberSweepTask extends LeasedTask {
  override readonly name = 'member-sweep'
  protected override readonly lease = 'member-sweep'
  protected override readonly stepMilliseconds = 2_000
  private readonly _listed = new Set<string>()
  private readonly _missing = new Map<string, number>()

  constructor (
    parts: ControlContext,
    private readonly _membership: Membership,
    private readonly _control: VirtualMachineControl
  ) {
    super(parts)
  }

  protected override async step (_proof: LeaseProof, signal: AbortSignal): Promise<void> {
    const { clock } = this.parts
    const listing = await this._control.list(clock.now() + PLATFORM_TIMEOUT_MILLISECONDS, signal)
    if (listing.isRight()) await this._sweep(listing.extract() as VirtualMachineListing)
    await this._returnGrants()
  }

  private async _sweep (listing: VirtualMachineListing): Promise<void> {
    const present = new Set(listing.virtualMachines.map(machine => machine.id))
    for (const id of present) this._listed.add(id)
    for (const member of [...this.parts.keeper.state.members.values()]) {
      if (present.has(member.host) || !this._listed.has(member.host)) {
        this._missing.delete(member.id)
        continue
      }
      const missing = (this._missing.get(member.id) ?? 0) + 1
      this._missing.set(member.id, missing)
      const isSilent = this._membership.heardAt(member.id) < this.parts.clock.now() - SILENCE_MILLISECONDS
      if (missing < MISSING_LISTS || !isSilent || member.id === this._membership.self.id) continue
      await this.submit({ kind: 'end-member', holder: { member: member.id, incarnation: member.incarnation }, reason: 'gone' }, 'members')
    }
  }

  private async _returnGrants (): Promise<void> {
    const { keeper, clock } = this.parts
    const dead = new Map<string, Holder>()
    for (const grants of keeper.state.grants.values()) {
      for (const grant of grants.values()) {
        if (grant.returnDeadline !== null && grant.returnDeadline <= clock.now()) dead.set(FleetState.holderKey(grant.holder), grant.holder)
      }
    }
    for (const holder of dead.values()) await this.submit({ kind: 'return-grants', holder }, 'members')
  }
}
