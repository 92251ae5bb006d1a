/**
 * Access to the platform's log that relays appends through peers when the log isn't reachable directly.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import * as z from 'zod'
import type { Metrics } from '../observability/metrics.js'
import { PlatformError } from '../state/platform-error.js'
import { PlatformLog } from '../state/platform-log.js'
import type { LogPage } from '../schemas/log-page.js'
import type { LogRecord } from '../schemas/log-record.js'
import type { MemberStatus } from '../schemas/member-status.js'
import type { Clock } from '../supervision/clock.js'
import type { Membership } from './membership.js'
import type { PeerChannel } from './peer-channel.js'

/** Maximum number of peers through which one append may be relayed. */
const MAXIMUM_HOPS = 2

/** Time limit for the direct append before it is relayed through a peer, in milliseconds. */
const DIRECT_TIMEOUT_MILLISECONDS = 1_000

const AppendResponse = z.object({ isWritten: z.boolean() })

/**
 * Appends directly, or through a peer that reaches the log if that fails. A record may thus
 * be written twice, which is harmless because the fold decides each record id once. Reads go
 * to the log only; records that peers have are fetched after heartbeats (`PeerMethods.catchUp`).
 */
export class RelayingPlatformLog extends PlatformLog {
  private _channels: () => { status: MemberStatus | null, channel: PeerChannel }[] = () => []

  constructor (
    private readonly _direct: PlatformLog,
    private readonly _membership: Membership,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {
    super()
  }

  /** Sets the source of open channels to peers, which is constructed after this object. */
  setChannelSource (channels: () => { status: MemberStatus | null, channel: PeerChannel }[]): void {
    this._channels = channels
  }

  override async append (records: readonly LogRecord[], deadline: number, signal: AbortSignal, hops = MAXIMUM_HOPS): Promise<Either<PlatformError, void>> {
    const direct = await this._appendDirectly(records, deadline, signal)
    if (direct.isRight() || hops === 0) return direct
    for (const channel of this._relayChannels(hops)) {
      if (signal.aborted || this._clock.now() >= deadline) break
      const response = await channel.call({
        method: 'append', params: { records, deadline, remainingHops: hops - 1 }, responseSchema: AppendResponse, deadline
      })
      if (response.map(({ isWritten }) => isWritten).orDefault(false)) return Right(undefined)
    }
    return direct
  }

  override async read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<PlatformError, LogPage>> {
    return this._direct.read(offset, waitDeadline, signal)
  }

  private async _appendDirectly (records: readonly LogRecord[], deadline: number, signal: AbortSignal): Promise<Either<PlatformError, void>> {
    if (!this._membership.reachesLogDirectly && this._relayChannels(1).length > 0) {
      return Left(new PlatformError('unreachable', 'the log is unreachable: reads from it fail'))
    }
    return this._direct.append(records, Math.min(deadline, this._clock.now() + DIRECT_TIMEOUT_MILLISECONDS), signal)
  }

  /** Peers that reach the log directly; if there are none and another hop is allowed, peers that may relay to one that does. */
  private _relayChannels (hops: number): PeerChannel[] {
    const reachingLog: PeerChannel[] = []
    const others: PeerChannel[] = []
    for (const { status, channel } of this._channels()) {
      if (status?.reachesLog) reachingLog.push(channel)
      else if (status) others.push(channel)
    }
    const isReachedByOtherMember = this._membership.reachableStatuses().some(status => status.reachesLog)
    return hops > 1 && reachingLog.length === 0 && isReachedByOtherMember ? others : reachingLog
  }
}
