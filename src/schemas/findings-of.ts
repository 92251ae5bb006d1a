/**
 * Turns what a schema finds wrong into findings with their places.
 */
import type * as z from 'zod'
import type { Finding } from './finding.js'

/**
 * Lists all findings of a failed parse.
 *
 * @param root path of the document itself, such as `$`.
 */
export function findingsOf (error: z.ZodError, root: string): Finding[] {
  return error.issues.flatMap((issue): Finding[] => {
    const place = issue.path.reduce<string>((path, part) => typeof part === 'number' ? `${path}[${part}]` : `${path}.${String(part)}`, root)
    if (issue.code !== 'unrecognized_keys') return [{ path: place, code: 'invalid', message: issue.message }]
    return issue.keys.map(key => ({ path: `${place}.${key}`, code: 'invalid', message: 'is not a known key' }))
  })
}
