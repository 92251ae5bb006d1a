/**
 * Deterministic identifiers for tests.
 */
import { IdentifierSource } from '../../src/supervision/identifier-source.js'

/** Numbers identifiers in sequence after a prefix. */
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
