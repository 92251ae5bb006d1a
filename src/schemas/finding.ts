/**
 * One thing wrong with a document, with its place. Findings are collected and reported together.
 */
import * as z from 'zod'

/** A fault of an input and where it is. */
export const Finding = z.object({
  /** Place: a JSON path such as `$.pools[0].name`, or a settings key path. */
  path: z.string(),
  /** Stable code for programs. */
  code: z.enum(['invalid', 'not-found', 'version-conflict', 'in-use', 'budget', 'limit', 'not-holder', 'state', 'duplicate']),
  /** What is wrong, for people. */
  message: z.string()
})
export type Finding = z.infer<typeof Finding>
