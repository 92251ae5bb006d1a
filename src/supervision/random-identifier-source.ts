/**
 * Identifiers from the operating system's random number generator.
 */
import { randomUUID } from 'node:crypto'
import { IdentifierSource } from './identifier-source.js'

/** Generates random UUIDs (version 4). */
export class RandomIdentifierSource extends IdentifierSource {
  override next (): string {
    return randomUUID()
  }
}
