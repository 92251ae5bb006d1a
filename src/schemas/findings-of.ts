/**
 * Converts the errors of a schema to findings.
 */
import type * as z from 'zod'
import type { Finding } from './finding.js'

/**
 * Returns a finding for each error of a failed parse.
 *
 * @param root prefix of every finding's path: `$` for a document, or the name of a file.
 */
export function findingsOf (error: z.ZodError, root: string): Finding[] {
  return error.issues.flatMap((issue): Finding[] => {
    const location = issue.path.reduce<string>((path, part) => typeof part === 'number' ? `${path}[${part}]` : `${path}.${String(part)}`, root)
    if (issue.code !== 'unrecognized_keys') return [{ path: location, code: 'invalid', message: issue.message }]
    return issue.keys.map(key => ({ path: `${location}.${key}`, code: 'invalid', message: 'is not a known key' }))
  })
}
