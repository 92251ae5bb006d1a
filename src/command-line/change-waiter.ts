/**
 * Waits until a change is in force.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { Left, Right, type Either } from 'purify-ts/Either'
import * as z from 'zod'
import type { AdministrationClient } from './administration-client.js'
import { CommandError } from './command-error.js'

/** Pause between two questions, in milliseconds. */
const POLL_MILLISECONDS = 200

const names = z.array(z.string()).optional()

/** What `changes/{id}` answers, as far as it is read here. */
const ChangeDocument = z.object({
  status: z.string().optional(),
  isInForceEverywhere: z.boolean().optional(),
  inForceOn: names,
  notYetOn: names,
  notHeardFrom: names
})
type ChangeDocument = z.infer<typeof ChangeDocument>

/** Asks `changes/{id}` until every entry VM has the change. */
export class ChangeWaiter {
  /** @param _onProgress told of every change of progress. */
  constructor (private readonly _client: AdministrationClient, private readonly _onProgress: (line: string) => void) {}

  /** Waits until `deadline` (epoch milliseconds). */
  async wait (changeId: string, deadline: number): Promise<Either<CommandError, void>> {
    let last = ''
    for (;;) {
      const answer = await this._client.call({ method: 'GET', path: `/changes/${encodeURIComponent(changeId)}` })
      if (answer.isLeft() && (answer.extract() as CommandError).kind !== 'unreachable') return Left(answer.extract() as CommandError)
      const document = ChangeDocument.parse(answer.orDefault({}))
      if (document.status === 'refused') return Left(new CommandError('refused', `change ${changeId} was refused`))
      if (document.isInForceEverywhere === true) return Right(undefined)
      const line = this._describe(document)
      if (line !== last) this._onProgress(line)
      last = line
      if (Date.now() >= deadline) return Left(this._lateness(changeId, document, line))
      await delay(POLL_MILLISECONDS)
    }
  }

  private _describe (document: ChangeDocument): string {
    if (document.status !== 'accepted') return 'not yet decided'
    const { inForceOn = [], notYetOn = [], notHeardFrom = [] } = document
    return `in force on ${inForceOn.length}, not yet on ${notYetOn.length}, not heard from ${notHeardFrom.length}`
  }

  private _lateness (changeId: string, document: ChangeDocument, line: string): CommandError {
    const kind = document.status === 'accepted' ? 'not-in-force' : 'unknown'
    return new CommandError(kind, `change ${changeId}: ${line}`)
  }
}
