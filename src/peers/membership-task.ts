/**
 * Registers this process as a member of the fleet.
 */
import type { Member } from '../schemas/member.js'
import type { CommandSubmitter } from '../state/command-submitter.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import type { IdentifierSource } from '../supervision/identifier-source.js'
import { Task } from '../supervision/task.js'

/** Time limit for one attempt to join, in milliseconds. */
const JOIN_TIMEOUT_MILLISECONDS = 5_000

/** Time limit for leaving, in milliseconds. */
const LEAVE_TIMEOUT_MILLISECONDS = 2_000

/** Delay between attempts to join, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 500

/**
 * Joins the fleet, watches whether the state still lists this incarnation as a member, and
 * leaves on a graceful shutdown. If the incarnation has been declared ended, the process
 * finishes its work and shuts down; a restarted process joins under a new incarnation.
 */
export class MembershipTask extends Task {
  override readonly name = 'member'

  /** @param _requestStop starts a graceful shutdown of the process. */
  constructor (
    private readonly _self: Member,
    private readonly _keeper: StateKeeper,
    private readonly _submitter: CommandSubmitter,
    private readonly _identifiers: IdentifierSource,
    private readonly _clock: Clock,
    private readonly _requestStop: (reason: string) => void
  ) {
    super()
  }

  /** Whether the state lists this incarnation as a member. */
  get isJoined (): boolean {
    return this._keeper.state.members.get(this._self.id)?.incarnation === this._self.incarnation
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.isJoined) await this._join(signal)
    while (!signal.aborted && this.isJoined) await this._keeper.changed.wait(this._clock, Infinity, signal)
    if (!signal.aborted) {
      this._requestStop('another process declared this incarnation ended')
      while (!signal.aborted) await this._keeper.changed.wait(this._clock, Infinity, signal)
    }
    if (this.isJoined) await this._leave()
  }

  private async _join (signal: AbortSignal): Promise<void> {
    const deadline = this._clock.now() + JOIN_TIMEOUT_MILLISECONDS
    const result = await this._submitter.submit({ kind: 'join-member', value: this._self }, { id: this._identifiers.next(), purpose: 'members', deadline, signal })
    if (result.kind === 'accepted') return
    await this._clock.sleepUntil(this._clock.now() + RETRY_DELAY_MILLISECONDS, signal).catch(() => {})
  }

  private async _leave (): Promise<void> {
    const holder = { member: this._self.id, incarnation: this._self.incarnation }
    const deadline = this._clock.now() + LEAVE_TIMEOUT_MILLISECONDS
    await this._submitter.submit({ kind: 'end-member', holder, reason: 'left' }, { id: this._identifiers.next(), purpose: 'members', deadline })
  }
}
