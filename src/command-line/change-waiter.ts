/**
 * Waits until a change is in force.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { Left, Right, type Either } from 'purify-ts/Either'
import * as z from 'zod'
import type { AdministrationClient } from './administration-client.js'
import { CommandError } from './command-error.js'

/** Interval between two requests for the status. */
const POLL_INTERVAL_MILLISECONDS = 200

const memberNames = z.array(z.string()).optional()

/** The fields of the response to `changes/{id}` that the waiter reads. */
const ChangeDocument = z.object({
  status: z.string().optional(),
  isInForceEverywhere: z.boolean().optional(),
  inForceOn: memberNames,
  notYetOn: memberNames,
  notHeardFrom: memberNames
})
type ChangeDocument = z.infer<typeof ChangeDocument>

/** Polls `changes/{id}` until the change is in force on every entry VM. */
export class ChangeWaiter {
  /** @param _onProgress called with a line of text whenever the progress has changed. */
  constructor (private readonly _client: AdministrationClient, private readonly _onProgress: (line: string) => void) {}

  /** Waits until `deadline` (epoch milliseconds) at most; unreachable servers are polled again. */
  async wait (changeId: string, deadline: number): Promise<Either<CommandError, void>> {
    let lastLine = ''
    for (;;) {
      const response = await this._client.call({ method: 'GET', path: `/changes/${encodeURIComponent(changeId)}` })
      if (response.isLeft() && (response.extract() as CommandError).kind !== 'unreachable') return Left(response.extract() as CommandError)
      const document = ChangeDocument.parse(response.orDefault({}))
      if (document.status === 'refused') return Left(new CommandError('refused', `change ${changeId} was refused`))
      if (document.isInForceEverywhere === true) return Right(undefined)
      const line = this._describeProgress(document)
      if (line !== lastLine) this._onProgress(line)
      lastLine = line
      if (Date.now() >= deadline) return Left(this._timeoutError(changeId, document, line))
      await delay(POLL_INTERVAL_MILLISECONDS)
    }
  }

  private _describeProgress (document: ChangeDocument): string {
    if (document.status !== 'accepted') return 'not yet decided'
    const { inForceOn = [], notYetOn = [], notHeardFrom = [] } = document
    return `in force on ${inForceOn.length}, not yet on ${notYetOn.length}, not heard from ${notHeardFrom.length}`
  }

  private _timeoutError (changeId: string, document: ChangeDocument, line: string): CommandError {
    const kind = document.status === 'accepted' ? 'not-in-force' : 'unknown'
    return new CommandError(kind, `change ${changeId}: ${line}`)
  }
}
