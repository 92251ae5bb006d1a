/**
 * Names of objects and processes.
 */
import * as z from 'zod'

/** Lower-case letters, digits and hyphens; at most 63 characters. */
export const Name = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  'must be lower-case letters, digits and hyphens, at most 63 characters, and start with a letter or digit'
)
export type Name = z.infer<typeof Name>
