/**
 * The finding that a racing author gets.
 */
import type { Finding } from '../schemas/finding.js'

/** Compares the version that an author saw with the present one; 0 stands for no object. */
export function versionFinding (path: string, expected: number, present: number): Finding[] {
  if (expected === present) return []
  const message = present === 0
    ? `does not exist; the change was based on version ${expected}`
    : `is at version ${present}; the change was based on version ${expected}`
  return [{ path, code: 'version-conflict', message }]
}
