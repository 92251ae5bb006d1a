/**
 * Identities from the system's entropy.
 */
import { randomUUID } from 'node:crypto'
import { IdentifierSource } from './identifier-source.js'

/** Random UUIDs (version 4). */
export class RandomIdentifierSource extends IdentifierSource {
  override next (): string {
    return randomUUID()
  }
}
