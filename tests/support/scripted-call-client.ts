/**
 * A client whose responses a test provides.
 */
import { Right, type Either } from 'purify-ts/Either'
import { CallClient } from '../../src/platform/call-client.js'
import type { CallError } from '../../src/platform/call-error.js'
import type { CallRequest } from '../../src/platform/call-request.js'
import type { CallResponse } from '../../src/platform/call-response.js'

/** Responds to each call with what a function of its path returns, and records the paths. */
export class ScriptedCallClient extends CallClient {
  readonly paths: string[] = []

  /** @param _respond returns the body, raw or as an object that is sent as JSON. */
  constructor (private readonly _respond: (path: string) => Buffer | object) {
    super()
  }

  override async call ({ path }: CallRequest): Promise<Either<CallError, CallResponse>> {
    this.paths.push(path)
    const body = this._respond(path)
    return Right({ status: 200, body: Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body)) })
  }

  override async close (): Promise<void> {}
}
