/**
 * The log by way of peers where the direct path is cut.
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

/** How often an append may be passed on. */
const MAXIMUM_HOPS = 2

/** How long the direct path is tried before a peer is asked, in milliseconds. */
const DIRECT_TIMEOUT_MILLISECONDS = 1_000

const AppendAnswer = z.object({ isWritten: z.boolean() })

/**
 * Appends directly, and through a peer that reaches the log if that fails. A record may
 * so be written twice; the fold decides its id once. Reads go to the log only: what peers
 * have comes with their heartbeats.
 */
export class RelayingPlatformLog extends PlatformLog {
  private _channels: () => { entry: MemberStatus | null, channel: PeerChannel }[] = () => []

  constructor (
    private readonly _direct: PlatformLog,
    private readonly _membership: Membership,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {
    super()
  }

  /** Gives the way to the neighbours; the wiring calls it once both exist. */
  setChannelSource (channels: () => { entry: MemberStatus | null, channel: PeerChannel }[]): void {
    this._channels = channels
  }

  override async append (records: readonly LogRecord[], deadline: number, signal: AbortSignal, hops = MAXIMUM_HOPS): Promise<Either<PlatformError, void>> {
    const direct = await this._appendDirectly(records, deadline, signal)
    if (direct.isRight() || hops === 0) return direct
    for (const channel of this._relays(hops)) {
      if (signal.aborted || this._clock.now() >= deadline) break
      const answer = await channel.call({
        method: 'append', params: { records, deadline, remainingHops: hops - 1 }, responseSchema: AppendAnswer, deadline
      })
      if (answer.map(({ isWritten }) => isWritten).orDefault(false)) return Right(undefined)
    }
    return direct
  }

  override async read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<PlatformError, LogPage>> {
    return this._direct.read(offset, waitDeadline, signal)
  }

  private async _appendDirectly (records: readonly LogRecord[], deadline: number, signal: AbortSignal): Promise<Either<PlatformError, void>> {
    if (!this._membership.reachesLogDirectly && this._relays(1).length > 0) {
      return Left(new PlatformError('unreachable', 'the log doesn\'t answer reads'))
    }
    return this._direct.append(records, Math.min(deadline, this._clock.now() + DIRECT_TIMEOUT_MILLISECONDS), signal)
  }

  /** Neighbours that reach the log, then others that may know one that does. */
  private _relays (hops: number): PeerChannel[] {
    const reaching: PeerChannel[] = []
    const others: PeerChannel[] = []
    for (const { entry, channel } of this._channels()) {
      if (entry?.reachesLog) reaching.push(channel)
      else if (entry) others.push(channel)
    }
    const someoneReaches = this._membership.living().some(entry => entry.reachesLog)
    return hops > 1 && reaching.length === 0 && someoneReaches ? others : reaching
  }
}
