/**
 * Closes a connection whose request isn't read to its end.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '../supervision/clock.js'
import { closeAt } from './close-at.js'

/**
 * Time for the client to read the response. Closing a connection with unread bytes resets it, which can destroy a response that
 * the client hasn't read yet.
 */
const READ_RESPONSE_MILLISECONDS = 1_000

/** Makes the connection close after the response. At most what one read of the socket returns is still read from it. */
export function closeAfterResponse (request: IncomingMessage, response: ServerResponse, clock: Clock): void {
  const { socket } = request
  response.setHeader('connection', 'close')
  // After the response, Node would read the rest of a request from which nothing has been read. This also releases what has been received.
  request.read()
  request.pause()
  // Node calls this when the last response of a connection has been sent. Its own version resets the connection at once.
  socket.destroySoon = () => {
    socket.end()
    socket.pause()
    closeAt(socket, clock.now() + READ_RESPONSE_MILLISECONDS, clock)
  }
}
