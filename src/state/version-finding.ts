/**
 * Check of the version on which a change is based.
 */
import type { Finding } from '../schemas/finding.js'

/** Compares the version on which a change is based with the current one; 0 means that there is no object. */
export function versionFinding (path: string, expected: number, current: number): Finding[] {
  if (expected === current) return []
  const message = current === 0
    ? `does not exist; the change was based on version ${expected}`
    : `is at version ${current}; the change was based on version ${expected}`
  return [{ path, code: 'version-conflict', message }]
}
