/**
 * Decides what gives way when clients reach a bound that they share.
 */
import type { BodyState } from './body-state.js'
import type { ConnectionState } from './connection-state.js'

/** Chooses the connection to close or the body to drop. */
export abstract class EvictionPolicy {
  /** Returns the connection to close so that another one has room, or null to refuse the new one. */
  abstract chooseConnection<T extends ConnectionState> (connections: Iterable<T>, now: number): T | null

  /** Returns the body to drop so that the others can be read on, or null if there is none. */
  abstract chooseBody<T extends BodyState> (bodies: Iterable<T>, now: number): T | null
}
