/**
 * Closes the connections of requests that are responded to without their bodies.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '../supervision/clock.js'
import { closeAfterResponse } from './close-after-response.js'
import { hasBody } from './has-body.js'

/** Makes the connection close after the response if the body has not been received; Node would read it to its end otherwise. */
export function closeUnreadRequest (request: IncomingMessage, response: ServerResponse, clock: Clock): void {
  if (!request.complete && hasBody(request)) closeAfterResponse(request, response, clock)
}
