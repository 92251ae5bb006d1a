/**
 * Intervals and timeouts of the heartbeats between peers.
 */
import type { StateKeeper } from '../state/state-keeper.js'

/** Time between heartbeats while the fleet has work, in milliseconds. */
const BUSY_INTERVAL_MILLISECONDS = 250

/** Time between heartbeats while the fleet is idle, in milliseconds. */
const IDLE_INTERVAL_MILLISECONDS = 1_000

/** Longest time between heartbeats, in milliseconds. */
const MAXIMUM_INTERVAL_MILLISECONDS = 2_000

/** Largest fleet that sends heartbeats at the full rate; in a larger one all times grow in proportion to its members. */
const FULL_RATE_MEMBERS = 24

/** Heartbeats that a member may miss before it counts as unreachable. */
const MAXIMUM_MISSED_HEARTBEATS = 3

/** Shortest silence after which a member counts as unreachable, in milliseconds. */
const MINIMUM_SILENCE_TIMEOUT_MILLISECONDS = 3_000

/** Consecutive statuses without work after which the idle interval applies. */
const IDLE_AFTER_STATUSES = 40

/**
 * Heartbeats are frequent while there is work, so that shares and limits follow demand, and
 * rare while there is none. Both intervals grow with the fleet, so that the traffic that a
 * member sends stays within its budget.
 */
export class HeartbeatTiming {
  private _idleStatuses = 0

  constructor (private readonly _keeper: StateKeeper) {}

  /** Time from one heartbeat to the next, in milliseconds. */
  get intervalMilliseconds (): number {
    const base = this._isBusy ? BUSY_INTERVAL_MILLISECONDS : IDLE_INTERVAL_MILLISECONDS
    return Math.min(MAXIMUM_INTERVAL_MILLISECONDS, base * this._slowdownFactor)
  }

  /** Age of a member's status after which a newer one is requested, in milliseconds. */
  get maximumStatusAgeMilliseconds (): number {
    return 2 * this._slowdownFactor * (this._isBusy ? BUSY_INTERVAL_MILLISECONDS : IDLE_INTERVAL_MILLISECONDS)
  }

  /** Silence after which this process treats a member as unreachable, in milliseconds. */
  get silenceTimeoutMilliseconds (): number {
    return Math.max(MINIMUM_SILENCE_TIMEOUT_MILLISECONDS, MAXIMUM_MISSED_HEARTBEATS * 2 * this._slowdownFactor * IDLE_INTERVAL_MILLISECONDS)
  }

  /** Records whether a status, this process's own or another member's, reports work. */
  recordActivity (hasWork: boolean): void {
    this._idleStatuses = hasWork ? 0 : Math.min(this._idleStatuses + 1, IDLE_AFTER_STATUSES)
  }

  private get _slowdownFactor (): number {
    return Math.max(1, this._keeper.state.members.size / FULL_RATE_MEMBERS)
  }

  private get _isBusy (): boolean {
    return this._idleStatuses < IDLE_AFTER_STATUSES
  }
}
