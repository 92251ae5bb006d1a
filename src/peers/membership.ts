/**
 * What this process has heard of the others.
 */
import type { Heartbeat } from '../schemas/heartbeat.js'
import type { Member } from '../schemas/member.js'
import type { MemberStatus } from '../schemas/member-status.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import type { RoleStatus } from './role-status.js'
import type { RoleStatusSource } from './role-status-source.js'
import { HeartbeatTiming } from './heartbeat-timing.js'

/** An account with the time of its arrival. */
interface Heard {
  readonly entry: MemberStatus
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
  /** How often to speak, and how old accounts may grow. */
  readonly timing: HeartbeatTiming
  private readonly _heard = new Map<string, Heard>()
  private readonly _askedAt = new Map<string, number>()
  private _sequence = 0
  private _isStopping = false

  /**
   * @param self this process.
   * @param _reachesLog whether this process reaches the log by itself.
   */
  constructor (
    readonly self: Member,
    private readonly _keeper: StateKeeper,
    private readonly _source: RoleStatusSource,
    private readonly _reachesLog: () => boolean,
    private readonly _clock: Clock
  ) {
    this.timing = new HeartbeatTiming(_keeper)
  }

  /** Whether this process reaches the log by itself. */
  get reachesLogDirectly (): boolean {
    return this._reachesLog()
  }

  /** Whether this process or one heard of lately reaches the log. */
  get isLogReachable (): boolean {
    return this._reachesLog() || this.living().some(entry => entry.reachesLog)
  }

  /** Says in further accounts that this process is stopping. */
  announceStop (): void {
    this._isStopping = true
  }

  /** This process's own account, new at every call. */
  createOwnStatus (): MemberStatus {
    this._sequence += 1
    const account = this._source.roleStatus()
    this.timing.noteWork(account.demands.length + account.busyVirtualMachines.length > 0)
    return {
      member: this.self.id,
      incarnation: this.self.incarnation,
      sequence: this._sequence,
      offset: this._keeper.state.offset,
      freshAt: this._keeper.freshAt,
      reachesLog: this._reachesLog(),
      ...(this._isStopping ? { isStopping: true } : {}),
      ...this._withoutEmpty(account)
    }
  }

  /** Takes accounts; those of unknown incarnations and those older than what is held are dropped. */
  applyStatuses (entries: readonly MemberStatus[]): void {
    for (const entry of entries) if (this._isNews(entry)) this._take(entry)
    this._shareFreshness()
    this.changed.notify()
  }

  /** Accounts of other members heard of lately. */
  living (): MemberStatus[] {
    const since = this._clock.now() - this.timing.silenceTimeoutMilliseconds
    return [...this._heard.values()].filter(({ heardAt: lastContactAt, entry }) => lastContactAt >= since && this._isMember(entry)).map(({ entry }) => entry)
  }

  /** Accounts of the other entry processes heard of lately. */
  reachableEntryStatuses (): MemberStatus[] {
    const { members } = this._keeper.state
    return this.living().filter(entry => members.get(entry.member)?.role === 'entry')
  }

  /** The newest account of a member's living incarnation, however old. */
  statusOf (member: string): MemberStatus | undefined {
    const entry = this._heard.get(member)?.entry
    return entry && this._isMember(entry) ? entry : undefined
  }

  /** When a member was last heard of, epoch milliseconds; 0 for never. */
  heardAt (member: string): number {
    return this._heard.get(member)?.heardAt ?? 0
  }

  /**
   * Members whose accounts have grown old, for the next heartbeat. Each is asked about at
   * one peer at a time, or every peer would send the same account.
   */
  takeWanted (): Heartbeat['wanted'] {
    const now = this._clock.now()
    const before = now - this.timing.wantedAgeMilliseconds
    const wanted: Heartbeat['wanted'] = []
    for (const { id } of this._keeper.state.members.values()) {
      const isRecent = this.heardAt(id) >= before || (this._askedAt.get(id) ?? 0) >= now - this.timing.intervalMilliseconds
      if (id === this.self.id || isRecent) continue
      this._askedAt.set(id, now)
      wanted.push([id, this.statusOf(id)?.sequence ?? -1])
    }
    return wanted
  }

  /** Accounts held that are newer than what a peer has. */
  newerThan (wanted: Heartbeat['wanted']): MemberStatus[] {
    const since = this._clock.now() - this.timing.silenceTimeoutMilliseconds
    return wanted.flatMap(([member, sequence]) => {
      const entry = this.statusOf(member)
      return entry && this.heardAt(member) >= since && entry.sequence > sequence ? [entry] : []
    })
  }

  private _isMember (entry: MemberStatus): boolean {
    return this._keeper.state.members.get(entry.member)?.incarnation === entry.incarnation
  }

  private _isNews (entry: MemberStatus): boolean {
    if (entry.member === this.self.id || !this._isMember(entry)) return false
    const present = this._heard.get(entry.member)?.entry
    return !present || present.incarnation !== entry.incarnation || entry.sequence > present.sequence
  }

  private _take (entry: MemberStatus): void {
    this._heard.set(entry.member, { entry, heardAt: this._clock.now() })
    this.timing.noteWork((entry.demands?.length ?? 0) > 0)
    // A member that was fresh at an offset that is folded here vouches for this state as well.
    if (entry.offset <= this._keeper.state.offset) this._keeper.markFresh(entry.freshAt)
  }

  private _withoutEmpty (account: RoleStatus): Partial<RoleStatus> {
    return Object.fromEntries(Object.entries(account).filter(([, items]) => items.length > 0))
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
    for (const { id } of members.values()) {
      if (id === this.self.id) continue
      const entry = this.statusOf(id)
      if (!entry || entry.reachesLog || entry.offset > offset) return
      oldest = Math.min(oldest, this.heardAt(id))
    }
    if (members.size > 1) this._keeper.markFresh(oldest)
  }
}
