/**
 * Connections whose cancelled requests are lost instead of delivered late.
 */
import type { Socket } from 'node:net'
import { buildConnector } from 'undici'

/**
 * Creates a connector whose connections are reset when they are closed with an error, as they are when a call is cancelled. An orderly close would
 * leave what has been written in the system's buffers, and deliver it as soon as a partition heals: an order that was given up seconds ago.
 *
 * @param timeout limit on establishing a connection, in milliseconds.
 */
export function createResettingConnector (timeout: number): buildConnector.connector {
  const connect = buildConnector({ timeout })
  return (options, callback) => connect(options, (...result) => {
    const [error, socket] = result
    if (error === null) resetOnError(socket)
    callback(...result)
  })
}

function resetOnError (socket: Socket): void {
  const destroy = socket.destroy.bind(socket)
  let isResetting = false
  socket.destroy = error => {
    if (!error || isResetting || socket.destroyed) return destroy(error)
    isResetting = true
    socket.resetAndDestroy()
    return destroy(error)
  }
}
