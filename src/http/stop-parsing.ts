/**
 * Keeps Node from parsing what is going to be ignored.
 */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Result of the parser's callback that makes the parser fail. */
const STOP = -1

/** What is used of the parser that Node attaches to the socket of an HTTP server. It isn't part of Node's documented interface. */
interface ParsedSocket extends Socket {
  readonly parser?: {
    /** Called when the headers of a request are complete; creates the response and emits `request`. */
    onIncoming?: (request: IncomingMessage, shouldKeepAlive: boolean) => number
  } | null
}

/**
 * Makes the parser of a connection fail, with the event `clientError`, after the request during whose handling `isRefused` became true. Otherwise Node creates
 * the objects of all further requests of the same read, up to 900 in 64 KB, and an error for each when the connection closes.
 * Without effect if Node's parser has another interface; the requests must be ignored as well.
 */
export function stopParsing (socket: Socket, isRefused: () => boolean): void {
  const { parser } = socket as ParsedSocket
  const onIncoming = parser?.onIncoming
  if (!parser || !onIncoming) return
  parser.onIncoming = (request, shouldKeepAlive) => {
    const result = onIncoming(request, shouldKeepAlive)
    return isRefused() ? STOP : result
  }
}
