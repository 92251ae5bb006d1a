/**
 * Decides whether a draining VM has no work left.
 */
import type { MemberStatus } from '../schemas/member-status.js'
import type { Member } from '../schemas/member.js'
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import type { FleetState } from '../state/fleet-state.js'

/** Allowance for clock skew and messages in transit, in milliseconds. */
const DELAY_ALLOWANCE_MILLISECONDS = 2_000

/** What this process knows of an entry process. */
interface MemberContact {
  /** Newest report of its current incarnation, if any. */
  readonly latestStatus: MemberStatus | undefined
  /** Epoch milliseconds of the last contact; 0 for none. */
  readonly lastContactAt: number
}

/**
 * A drain is complete when every entry process that could send work to the VM has confirmed that it sends no more and
 * has none running there.
 *
 * A process that sends no reports is assessed by the cut-off policy. Where the policy makes it stop dispatching to the
 * VM's zone by itself, it counts as confirmed once that time and the longest request timeout have passed. Where it keeps
 * dispatching (by default in its own zone), only its removal from the member set or its own report counts.
 */
export class DrainEvaluator {
  /** Names of the entry processes that still block the drain; empty when the VM is idle. */
  blockers (state: FleetState, virtualMachine: VirtualMachineState, contactOf: (member: string) => MemberContact, now: number): string[] {
    return [...state.members.values()]
      .filter(member => member.role === 'entry' && !this._isConfirmed(state, virtualMachine, member, contactOf(member.id), now))
      .map(member => member.id)
  }

  private _isConfirmed (state: FleetState, virtualMachine: VirtualMachineState, member: Member, contact: MemberContact, now: number): boolean {
    const { latestStatus: entry } = contact
    // A process that has applied the drain starts nothing on the VM again, so its report of having no work there stays true.
    const isIdle = entry !== undefined && entry.offset >= virtualMachine.version && !entry.busyVirtualMachines?.includes(virtualMachine.value.id)
    return isIdle || this._hasStoppedDispatching(state, virtualMachine, member, contact, now)
  }

  private _hasStoppedDispatching (state: FleetState, virtualMachine: VirtualMachineState, member: Member, { lastContactAt }: MemberContact, now: number): boolean {
    const policy = state.cutOffPolicy.value
    const isOwnZone = member.availabilityZone === virtualMachine.value.availabilityZone
    const keepsDispatching = isOwnZone ? policy.dispatchInOwnZone : policy.dispatchInOtherZones
    if (keepsDispatching) return false
    const lastSeenAt = Math.max(lastContactAt, member.joinedAt)
    return now > lastSeenAt + policy.staleAfterMilliseconds + state.longestTimeoutMilliseconds + DELAY_ALLOWANCE_MILLISECONDS
  }
}
