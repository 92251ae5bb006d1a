/**
 * Closes what has been without progress for longest.
 */
import type { BodyState } from './body-state.js'
import type { ConnectionState } from './connection-state.js'
import { EvictionPolicy } from './eviction-policy.js'

/** Time without progress after which a client that is in the middle of a request or response counts as stalled. */
const STALL_MILLISECONDS = 1_000

/** Bodies whose last progress lies in the same interval count as equal, so that the largest of them is dropped. */
const PROGRESS_GRAIN_MILLISECONDS = 250

/**
 * Stalled clients go first, then idle connections, then those in progress; among each, the longest without progress.
 * A connection whose request the process is working on is never closed, since its outcome would be unknown to the caller.
 */
export class StalledFirstEvictionPolicy extends EvictionPolicy {
  override chooseConnection<T extends ConnectionState> (connections: Iterable<T>, now: number): T | null {
    let chosen: T | null = null
    for (const connection of connections) {
      if (connection.phase === 'serving') continue
      if (chosen === null || this._precedes(connection, chosen, now)) chosen = connection
    }
    return chosen
  }

  override chooseBody<T extends BodyState> (bodies: Iterable<T>, now: number): T | null {
    const age = ({ progressAt }: T): number => Math.floor((now - progressAt) / PROGRESS_GRAIN_MILLISECONDS)
    let chosen: T | null = null
    for (const body of bodies) {
      if (chosen === null || age(body) > age(chosen) || (age(body) === age(chosen) && body.bytes > chosen.bytes)) chosen = body
    }
    return chosen
  }

  private _precedes (left: ConnectionState, right: ConnectionState, now: number): boolean {
    const leftRank = this._rank(left, now)
    const rightRank = this._rank(right, now)
    return leftRank < rightRank || (leftRank === rightRank && left.progressAt < right.progressAt)
  }

  private _rank ({ phase, hasBeenServed, progressAt }: ConnectionState, now: number): number {
    const isStalled = now - progressAt >= STALL_MILLISECONDS && (phase !== 'idle' || !hasBeenServed)
    if (isStalled) return 0
    return phase === 'idle' && hasBeenServed ? 1 : 2
  }
}
