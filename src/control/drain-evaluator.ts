/**
 * Whether a VM that drains has no work left.
 */
import type { MemberStatus } from '../schemas/member-status.js'
import type { Member } from '../schemas/member.js'
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import type { FleetState } from '../state/fleet-state.js'

/** Allowance for clocks that differ and messages under way, in milliseconds. */
const ALLOWANCE_MILLISECONDS = 2_000

/** An entry process as the judgement sees it. */
interface Heard {
  /** Newest account of its living incarnation, if any. */
  readonly entry: MemberStatus | undefined
  /** When it was last heard of, epoch milliseconds; 0 for never. */
  readonly heardAt: number
}

/**
 * A drain is over when every entry process that could send work to the VM has confirmed
 * that it won't and has none there.
 *
 * A silent process is judged by the policy for those that are cut off: where it stops
 * sending to a zone by itself, it counts as confirmed once that time and the longest
 * request have passed; where it goes on (its own zone, by default), only its end or its
 * word counts.
 */
export class DrainEvaluator {
  /** Names of the entry processes that still stand in the way; empty when the VM is idle. */
  blockers (state: FleetState, machine: VirtualMachineState, hear: (member: string) => Heard, now: number): string[] {
    return [...state.members.values()]
      .filter(member => member.role === 'entry' && !this._isConfirmed(state, machine, member, hear(member.id), now))
      .map(member => member.id)
  }

  private _isConfirmed (state: FleetState, machine: VirtualMachineState, member: Member, heard: Heard, now: number): boolean {
    const { entry } = heard
    // A process that has folded the drain starts nothing on the VM again, so its word that it has nothing there stays true.
    const isIdle = entry !== undefined && entry.offset >= machine.version && !entry.busyVirtualMachines?.includes(machine.value.id)
    return isIdle || this._hasStoppedBySilence(state, machine, member, heard, now)
  }

  private _hasStoppedBySilence (state: FleetState, machine: VirtualMachineState, member: Member, { heardAt }: Heard, now: number): boolean {
    const policy = state.cutOffPolicy.value
    const isOwnZone = member.availabilityZone === machine.value.availabilityZone
    const goesOn = isOwnZone ? policy.dispatchInOwnZone : policy.dispatchInOtherZones
    if (goesOn) return false
    const silentSince = Math.max(heardAt, member.joinedAt)
    return now > silentSince + policy.staleAfterMilliseconds + state.longestTimeoutMilliseconds + ALLOWANCE_MILLISECONDS
  }
}
