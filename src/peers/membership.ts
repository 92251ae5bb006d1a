/**
 * What this process has heard of the others.
 */
import type { Member } from '../schemas/member.js'
import type { MemberEntry } from '../schemas/member-entry.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import type { AccountSource } from './account-source.js'

/** Silence after which a member counts as unreachable from here, in milliseconds. */
const SILENCE_MILLISECONDS = 3_000

/** Age of an account after which a newer one is asked for, in milliseconds, while there are few members. */
const WANTED_AGE_MILLISECONDS = 600

/** Members up to which accounts are refreshed at the full rate; beyond it the age grows in proportion. */
const FULL_RATE_MEMBERS = 24

/** An account with the time of its arrival. */
interface Heard {
  readonly entry: MemberEntry
  readonly heardAt: number
}

/**
 * Reachability from here and now. It is kept apart from who may exist (the platform's
 * list) and who holds grants and leases (the log): silence alone takes nothing away
 * from a member, it only keeps its last account out of sums.
 */
export class Membership {
  /** Notified when an account arrives. */
  readonly changed = new Notifier()
  private readonly _heard = new Map<string, Heard>()
  private _sequence = 0
  private _isStopping = false

  /**
   * @param self this process.
   * @param _reachesLog whether this process reaches the log by itself.
   */
  constructor (
    readonly self: Member,
    private readonly _keeper: StateKeeper,
    private readonly _source: AccountSource,
    private readonly _reachesLog: () => boolean,
    private readonly _clock: Clock
  ) {}

  /** Whether this process reaches the log by itself. */
  get ownReachesLog (): boolean {
    return this._reachesLog()
  }

  /** Says in further accounts that this process is stopping. */
  announceStop (): void {
    this._isStopping = true
  }

  /** This process's own account, new at every call. */
  ownEntry (): MemberEntry {
    this._sequence += 1
    return {
      member: this.self,
      sequence: this._sequence,
      offset: this._keeper.state.offset,
      freshAt: this._keeper.freshAt,
      reachesLog: this._reachesLog(),
      isStopping: this._isStopping,
      ...this._source.account()
    }
  }

  /** Takes accounts; older ones than those held are dropped. */
  observe (entries: readonly MemberEntry[]): void {
    for (const entry of entries) if (this._isNews(entry)) this._take(entry)
    this._shareFreshness()
    this.changed.notify()
  }

  /** Accounts of other members heard of lately. */
  living (): MemberEntry[] {
    const since = this._clock.now() - SILENCE_MILLISECONDS
    return [...this._heard.values()].filter(({ heardAt }) => heardAt >= since).map(({ entry }) => entry)
  }

  /** Accounts of the other entry processes heard of lately. */
  livingEntries (): MemberEntry[] {
    return this.living().filter(entry => entry.member.role === 'entry')
  }

  /** The newest account of a member, however old. */
  entryOf (member: string): MemberEntry | undefined {
    return this._heard.get(member)?.entry
  }

  /** When a member was last heard of, epoch milliseconds; 0 for never. */
  heardAt (member: string): number {
    return this._heard.get(member)?.heardAt ?? 0
  }

  /** Members whose accounts have grown old, for the next heartbeat. */
  wanted (): { member: string, incarnation: string, sequence: number }[] {
    const { members } = this._keeper.state
    const age = WANTED_AGE_MILLISECONDS * Math.max(1, members.size / FULL_RATE_MEMBERS)
    const before = this._clock.now() - age
    return [...members.values()]
      .filter(({ id }) => id !== this.self.id && this.heardAt(id) < before)
      .map(({ id, incarnation }) => {
        const entry = this._heard.get(id)?.entry
        const isSame = entry?.member.incarnation === incarnation
        return { member: id, incarnation, sequence: isSame ? entry.sequence : -1 }
      })
  }

  /** Accounts held that are newer than what a peer has. */
  newerThan (wanted: readonly { member: string, incarnation: string, sequence: number }[]): MemberEntry[] {
    return wanted.flatMap(({ member, incarnation, sequence }) => {
      const heard = this._heard.get(member)
      if (!heard || heard.heardAt < this._clock.now() - SILENCE_MILLISECONDS) return []
      const isNewer = heard.entry.member.incarnation !== incarnation || heard.entry.sequence > sequence
      return isNewer ? [heard.entry] : []
    })
  }

  private _isNews (entry: MemberEntry): boolean {
    if (entry.member.id === this.self.id) return false
    const present = this._heard.get(entry.member.id)?.entry
    if (!present) return true
    if (present.member.incarnation === entry.member.incarnation) return entry.sequence > present.sequence
    return entry.member.joinedAt > present.member.joinedAt
  }

  private _take (entry: MemberEntry): void {
    this._heard.set(entry.member.id, { entry, heardAt: this._clock.now() })
    // A member that was fresh at an offset that is folded here vouches for this state as well.
    if (entry.offset <= this._keeper.state.offset) this._keeper.markFresh(entry.freshAt)
  }

  /**
   * With the log down for all, nothing new can be decided. If every member of the set at
   * the last offset has been heard of, none reaches the log and none knows more, then this
   * state was the newest when the least recent of them spoke.
   */
  private _shareFreshness (): void {
    if (this._reachesLog()) return
    const { offset, members } = this._keeper.state
    let oldest = this._clock.now()
    for (const { id, incarnation } of members.values()) {
      if (id === this.self.id) continue
      const heard = this._heard.get(id)
      if (!heard || heard.entry.member.incarnation !== incarnation) return
      if (heard.entry.reachesLog || heard.entry.offset > offset) return
      oldest = Math.min(oldest, heard.heardAt)
    }
    if (members.size > 1) this._keeper.markFresh(oldest)
  }
}
