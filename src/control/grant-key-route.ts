/**
 * Grants a key.
 */
import { createHash, randomBytes } from 'node:crypto'
import { Left, type Either } from 'purify-ts/Either'
import * as z from 'zod'
import { AccessKey } from '../schemas/access-key.js'
import type { AdministrationProblem } from './administration-problem.js'
import type { AdministrationRequest } from './administration-request.js'
import type { AdministrationResult } from './administration-result.js'
import { AdministrationRoute } from './administration-route.js'
import type { ChangeSubmitter } from './change-submitter.js'
import { parseDocument } from './parse-document.js'

/** Length of a secret in bytes. */
const SECRET_BYTES = 32

const GrantKeyDocument = z.object({
  team: AccessKey.shape.team,
  queues: AccessKey.shape.queues.default([])
}).strict()

/**
 * `POST /keys`. The key is returned in the response and stored nowhere; the log contains only its hash. Its id is
 * derived from the change id, so a repeated change grants a single key; the repeat cannot return the secret again.
 */
export class GrantKeyRoute extends AdministrationRoute {
  override readonly method = 'POST'
  override readonly path = '/keys'
  override readonly summary = 'Grants a key to a team; the key is shown once'
  override readonly documentSchema = GrantKeyDocument

  constructor (private readonly _submitter: ChangeSubmitter, private readonly _isDecided: (changeId: string) => boolean) {
    super()
  }

  override async handle ({ document, changeId }: AdministrationRequest): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const parsed = parseDocument(GrantKeyDocument, document)
    if (parsed.isLeft()) return Left(parsed.extract() as AdministrationProblem)
    const { team, queues } = parsed.extract() as z.infer<typeof GrantKeyDocument>
    const id = createHash('sha256').update(changeId).digest('hex').slice(0, 12)
    const key = `sgk.${id}.${randomBytes(SECRET_BYTES).toString('base64url')}`
    const returnedKey = this._isDecided(changeId) ? null : key
    const sha256 = createHash('sha256').update(key).digest('hex')
    return this._submitter.submit({ kind: 'grant-key', value: { id, team, queues, sha256 } }, changeId, { id, key: returnedKey })
  }
}
