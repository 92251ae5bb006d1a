/**
 * How often peers speak to each other.
 */
import type { StateKeeper } from '../state/state-keeper.js'

/** Time between heartbeats while there is work, in milliseconds. */
const BUSY_INTERVAL_MILLISECONDS = 250

/** Time between heartbeats while there is none, in milliseconds. */
const IDLE_INTERVAL_MILLISECONDS = 1_000

/** Longest time between heartbeats, in milliseconds. */
const MAXIMUM_INTERVAL_MILLISECONDS = 2_000

/** Members up to which the full pace is kept; beyond it everything slows in proportion. */
const FULL_PACE_MEMBERS = 24

/** Heartbeats that a member may miss before it counts as silent. */
const MISSED_HEARTBEATS = 3

/** Shortest silence that counts, in milliseconds. */
const MINIMUM_SILENCE_MILLISECONDS = 3_000

/** Heartbeats without any work heard of after which the pace drops. */
const QUIET_HEARTBEATS = 40

/**
 * Fast enough for shares and limits while there is work, slow while there is none, and
 * slower in proportion to the fleet, so that what a member sends stays within its budget.
 */
export class HeartbeatTiming {
  private _quiet = 0

  constructor (private readonly _keeper: StateKeeper) {}

  /** Time from one heartbeat to the next, in milliseconds. */
  get intervalMilliseconds (): number {
    const base = this._isBusy ? BUSY_INTERVAL_MILLISECONDS : IDLE_INTERVAL_MILLISECONDS
    return Math.min(MAXIMUM_INTERVAL_MILLISECONDS, base * this._slowdown)
  }

  /** Age of an account after which a newer one is asked for, in milliseconds. */
  get wantedAgeMilliseconds (): number {
    return 2 * this._slowdown * (this._isBusy ? BUSY_INTERVAL_MILLISECONDS : IDLE_INTERVAL_MILLISECONDS)
  }

  /** Silence after which a member counts as unreachable from here, in milliseconds. */
  get silenceTimeoutMilliseconds (): number {
    return Math.max(MINIMUM_SILENCE_MILLISECONDS, MISSED_HEARTBEATS * 2 * this._slowdown * IDLE_INTERVAL_MILLISECONDS)
  }

  /** Notes whether an account, one's own or another's, tells of work. */
  noteWork (isWorking: boolean): void {
    this._quiet = isWorking ? 0 : Math.min(this._quiet + 1, QUIET_HEARTBEATS)
  }

  private get _slowdown (): number {
    return Math.max(1, this._keeper.state.members.size / FULL_PACE_MEMBERS)
  }

  private get _isBusy (): boolean {
    return this._quiet < QUIET_HEARTBEATS
  }
}
