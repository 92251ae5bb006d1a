/**
 * JSON bodies for the stand-ins.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

/** Reads and writes JSON documents. */
export class JsonBody {
  /** Reads a request's document. */
  static async read (message: IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = []
    for await (const chunk of message) chunks.push(chunk as Buffer)
    return JSON.parse(Buffer.concat(chunks).toString('utf8'))
  }

  /** Answers with a document. */
  static send (response: ServerResponse, document: object, status = 200): void {
    response.statusCode = status
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify(document))
  }
}
