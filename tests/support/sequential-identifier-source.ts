/**
 * Identities that repeat from run to run.
 */
import { IdentifierSource } from '../../src/supervision/identifier-source.js'

/** Counts up behind a prefix. */
export class SequentialIdentifierSource extends IdentifierSource {
  private _count = 0

  constructor (private readonly _prefix: string) {
    super()
  }

  override next (): string {
    this._count += 1
    return `${this._prefix}-${this._count}`
  }
}
