/**
 * Validation errors in documents, settings and commands. All findings are collected and reported together.
 */
import * as z from 'zod'

/** A validation error with its location. */
export const Finding = z.object({
  /** Location: a JSON path such as `$.pools[0].name`, or a settings file with a key path or with line and column. */
  path: z.string(),
  /** Stable error code for programs. */
  code: z.enum(['invalid', 'not-found', 'version-conflict', 'in-use', 'budget', 'limit', 'not-holder', 'state', 'duplicate']),
  /** Description of the error for people. */
  message: z.string()
})
export type Finding = z.infer<typeof Finding>
