/**
 * JSON bodies of HTTP requests and responses.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

/** Parses request bodies and sends JSON responses. */
export class JsonBody {
  /** Reads and parses the body of a request. */
  static async read (message: IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = []
    for await (const chunk of message) chunks.push(chunk as Buffer)
    return JSON.parse(Buffer.concat(chunks).toString('utf8'))
  }

  /** Sends a document as the response. */
  static send (response: ServerResponse, document: object, status = 200): void {
    response.statusCode = status
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify(document))
  }
}
