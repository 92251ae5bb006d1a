/**
 * Sends problem documents (RFC 9457) over HTTP.
 */
import type { ServerResponse } from 'node:http'
import type { Problem } from '../schemas/problem.js'

/**
 * Sends a problem document as the response. If the response has begun already, closes the
 * connection instead, so that the client sees the failure.
 *
 * @param retryAfterSeconds value of the `Retry-After` header, or null to omit it.
 */
export function sendProblem (response: ServerResponse, problem: Problem, retryAfterSeconds: number | null): void {
  if (response.headersSent || response.destroyed) {
    response.destroy()
    return
  }
  const body = JSON.stringify(problem)
  response.statusCode = problem.status
  response.setHeader('content-type', 'application/problem+json')
  response.setHeader('content-length', Buffer.byteLength(body))
  if (retryAfterSeconds !== null) response.setHeader('retry-after', String(retryAfterSeconds))
  if (problem.status === 401) response.setHeader('www-authenticate', 'Bearer')
  response.end(body)
}
