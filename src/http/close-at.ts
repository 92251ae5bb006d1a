/**
 * Closes connections that were refused.
 */
import type { Socket } from 'node:net'
import type { Clock } from '../supervision/clock.js'

/** Closes a connection at a deadline (epoch milliseconds), unless it is closed before. */
export function closeAt (socket: Socket, deadline: number, clock: Clock): void {
  const closed = new AbortController()
  socket.once('close', () => closed.abort())
  clock.sleepUntil(deadline, closed.signal).then(() => socket.destroy(), () => {})
}
