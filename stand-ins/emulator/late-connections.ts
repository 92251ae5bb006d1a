/**
 * Connections to silent workers that are made once the worker is back.
 */
import type { Clock } from '../../src/supervision/clock.js'

/** Who opens a connection, and what bounds its wait. */
interface Caller {
  readonly clock: Clock
  readonly signal: AbortSignal
  /** Epoch milliseconds at which the caller gives the call up. */
  readonly deadline: number
}

/**
 * Repeats the opening packet of a connection to a worker that gives no sign of itself, as networks do, so that the next worker at its address carries the call out.
 * Off unless a test sets a time between the packets: calls to silent workers are lost then.
 */
export class LateConnections {
  /** Time between two opening packets, in milliseconds; 0 if they aren't repeated. */
  repeatMilliseconds = 0
  /** Time after which a caller gives an attempt to connect up, in milliseconds. */
  timeoutMilliseconds = Infinity
  /** Returns whether the next call to a silent worker opens a connection; its request is lost otherwise, on one that was open before. */
  opensConnection: () => boolean = () => true
  /** Returns whether the response to the next call on a late connection is lost. */
  losesResponse: () => boolean = () => false

  /**
   * Waits until a worker can be called; `never` if the caller gives the attempt up before.
   *
   * @param isSilent whether no worker that responds is at the address.
   */
  async establish (isSilent: () => boolean, { clock, signal, deadline }: Caller): Promise<'at once' | 'late' | 'never'> {
    if (!this.opensConnection()) return 'at once'
    const givenUpAt = Math.min(deadline, clock.now() + this.timeoutMilliseconds)
    while (isSilent()) {
      await clock.sleepUntil(Math.min(givenUpAt, clock.now() + this.repeatMilliseconds), signal).catch(() => {})
      if (signal.aborted || clock.now() >= givenUpAt) return 'never'
    }
    return 'late'
  }
}
