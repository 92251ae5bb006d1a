/**
 * A configuration object with the offset of the record that wrote it.
 */
import * as z from 'zod'

/** Wraps an object's schema with its version; the version is the `ETag` towards operators. */
export const Versioned = <T extends z.ZodType>(schema: T) => z.object({
  value: schema,
  version: z.number().int()
})
export type Versioned<T> = { value: T, version: number }
