/**
 * Submits operators' changes and tells accepted, refused and unknown apart.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import type { Command } from '../schemas/command.js'
import type { Decision } from '../schemas/decision.js'
import type { Finding } from '../schemas/finding.js'
import { AdministrationProblem } from './administration-problem.js'
import type { AdministrationResult } from './administration-result.js'
import type { ControlContext } from './control-context.js'

/** How long an operator waits for the verdict, in milliseconds. */
const CHANGE_TIMEOUT_MILLISECONDS = 5_000

/** Problems by finding, the most telling first. */
const KINDS: readonly (readonly [Finding['code'], AdministrationProblem['kind']])[] = [
  ['version-conflict', 'version-conflict'],
  ['not-found', 'not-found'],
  ['invalid', 'invalid']
]

/** Says "accepted" or "refused" only of what the fold has decided. */
export class ChangeSubmitter {
  constructor (private readonly _parts: ControlContext) {}

  /**
   * Submits a change.
   *
   * @param changeId the same id is decided once; a repeat gets the first verdict.
   * @param extra more of the answer's document.
   */
  async submit (command: Command, changeId: string, extra: object = {}): Promise<Either<AdministrationProblem, AdministrationResult>> {
    const deadline = this._parts.clock.now() + CHANGE_TIMEOUT_MILLISECONDS
    const result = await this._parts.submitter.submit(command, { id: changeId, purpose: 'operators', deadline })
    switch (result.kind) {
      case 'accepted':
        return Right({ status: 200, document: { status: 'accepted', changeId, offset: result.decision.offset, ...extra }, version: result.decision.offset })
      case 'refused':
        return Left(this._refusal(result.decision))
      case 'shed':
        return Left(new AdministrationProblem('overloaded', 'too many changes wait; this one was not written'))
      case 'unknown':
        return Right({ status: 202, document: { status: 'unknown', changeId, ...extra }, version: null })
    }
  }

  private _refusal (decision: Decision): AdministrationProblem {
    const codes = new Set(decision.findings.map(finding => finding.code))
    const kind = KINDS.find(([code]) => codes.has(code))?.[1] ?? 'refused'
    return new AdministrationProblem(kind, `change ${decision.id} was refused at offset ${decision.offset}`, decision.findings)
  }
}
