/**
 * Whether a request announces a body.
 */
import type { IncomingMessage } from 'node:http'

/** Returns whether a request has a body by its headers; unlike `complete`, also valid before Node has parsed the end of the request. */
export function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}
