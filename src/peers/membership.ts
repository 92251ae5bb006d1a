/**
 * This process's view of the other members: their latest statuses and which of them are reachable.
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

/** A member's status with the time of its arrival. */
interface ReceivedStatus {
  readonly status: MemberStatus
  /** Epoch milliseconds. */
  readonly receivedAt: number
}

/**
 * Reachability as this process sees it now. It is independent of which members may exist
 * (the platform's list) and of who holds grants and leases (the log): a silent member
 * keeps both, and only its last status is left out of totals.
 */
export class Membership {
  /** Notified when statuses have been applied. */
  readonly changed = new Notifier()
  /** Heartbeat interval, and how old statuses may become. */
  readonly timing: HeartbeatTiming
  private readonly _statuses = new Map<string, ReceivedStatus>()
  private readonly _requestedAt = new Map<string, number>()
  private _sequence = 0

  /**
   * @param self this process.
   * @param _reachesLog whether this process reaches the log directly.
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

  /** Whether this process reaches the log directly. */
  get reachesLogDirectly (): boolean {
    return this._reachesLog()
  }

  /** Whether this process or any reachable member reaches the log directly. */
  get isLogReachable (): boolean {
    return this._reachesLog() || this.reachableStatuses().some(status => status.reachesLog)
  }

  /** Creates a new status of this process; each has the next sequence number. */
  createOwnStatus (): MemberStatus {
    this._sequence += 1
    const roleStatus = this._source.roleStatus()
    this.timing.recordActivity(roleStatus.demands.length + roleStatus.busyVirtualMachines.length > 0)
    return {
      member: this.self.id,
      incarnation: this.self.incarnation,
      sequence: this._sequence,
      offset: this._keeper.state.offset,
      freshAt: this._keeper.freshAt,
      reachesLog: this._reachesLog(),
      ...this._omitEmpty(roleStatus)
    }
  }

  /** Applies received statuses, except those of unknown incarnations and those no newer than the stored ones. */
  applyStatuses (statuses: readonly MemberStatus[]): void {
    for (const status of statuses) if (this._isNewer(status)) this._apply(status)
    this._inferFreshness()
    this.changed.notify()
  }

  /** Latest statuses of the other members that are reachable. */
  reachableStatuses (): MemberStatus[] {
    const since = this._clock.now() - this.timing.silenceTimeoutMilliseconds
    return [...this._statuses.values()].filter(({ receivedAt, status }) => receivedAt >= since && this._isCurrentIncarnation(status)).map(({ status }) => status)
  }

  /** Latest statuses of the other entry processes that are reachable. */
  reachableEntryStatuses (): MemberStatus[] {
    const { members } = this._keeper.state
    return this.reachableStatuses().filter(status => members.get(status.member)?.role === 'entry')
  }

  /** The latest status of a member's current incarnation, however old. */
  statusOf (member: string): MemberStatus | undefined {
    const status = this._statuses.get(member)?.status
    return status && this._isCurrentIncarnation(status) ? status : undefined
  }

  /** When the latest status of a member arrived, epoch milliseconds; 0 if none has. */
  lastContactAt (member: string): number {
    return this._statuses.get(member)?.receivedAt ?? 0
  }

  /**
   * Returns the members to request newer statuses of in the next heartbeat. Each member is
   * requested from one peer per interval, because otherwise every peer would send the same
   * status.
   */
  nextStatusRequests (): Heartbeat['wanted'] {
    const now = this._clock.now()
    const oldestAccepted = now - this.timing.maximumStatusAgeMilliseconds
    const wanted: Heartbeat['wanted'] = []
    for (const { id } of this._keeper.state.members.values()) {
      const isRecent = this.lastContactAt(id) >= oldestAccepted || (this._requestedAt.get(id) ?? 0) >= now - this.timing.intervalMilliseconds
      if (id === this.self.id || isRecent) continue
      this._requestedAt.set(id, now)
      wanted.push([id, this.statusOf(id)?.sequence ?? -1])
    }
    return wanted
  }

  /** Statuses of reachable members that are newer than the sequences a peer has. */
  statusesNewerThan (wanted: Heartbeat['wanted']): MemberStatus[] {
    const since = this._clock.now() - this.timing.silenceTimeoutMilliseconds
    return wanted.flatMap(([member, sequence]) => {
      const status = this.statusOf(member)
      return status && this.lastContactAt(member) >= since && status.sequence > sequence ? [status] : []
    })
  }

  private _isCurrentIncarnation (status: MemberStatus): boolean {
    return this._keeper.state.members.get(status.member)?.incarnation === status.incarnation
  }

  private _isNewer (status: MemberStatus): boolean {
    if (status.member === this.self.id || !this._isCurrentIncarnation(status)) return false
    const stored = this._statuses.get(status.member)?.status
    return !stored || stored.incarnation !== status.incarnation || status.sequence > stored.sequence
  }

  private _apply (status: MemberStatus): void {
    this._statuses.set(status.member, { status, receivedAt: this._clock.now() })
    this.timing.recordActivity((status.demands?.length ?? 0) > 0)
    // This state includes every record that the member had folded, so it was current at that moment as well.
    if (status.offset <= this._keeper.state.offset) this._keeper.markFresh(status.freshAt)
  }

  private _omitEmpty (roleStatus: RoleStatus): Partial<RoleStatus> {
    return Object.fromEntries(Object.entries(roleStatus).filter(([, items]) => items.length > 0))
  }

  /**
   * Marks the state as current while no member reaches the log, since nothing new can be
   * decided then. This holds if every other member has sent a status, none of them reaches
   * the log and none is at a later offset: the state was then the newest at the time of the
   * oldest of these statuses.
   */
  private _inferFreshness (): void {
    if (this._reachesLog()) return
    const { offset, members } = this._keeper.state
    let oldest = this._clock.now()
    for (const { id } of members.values()) {
      if (id === this.self.id) continue
      const status = this.statusOf(id)
      if (!status || status.reachesLog || status.offset > offset) return
      oldest = Math.min(oldest, this.lastContactAt(id))
    }
    if (members.size > 1) this._keeper.markFresh(oldest)
  }
}
