/**
 * Configuration objects with the offset of the record that wrote them.
 */
import * as z from 'zod'

/** Adds a version to an object's schema; operators see the version as the `ETag`. */
export const Versioned = <T extends z.ZodType>(schema: T) => z.object({
  value: schema,
  version: z.number().int()
})
export type Versioned<T> = { value: T, version: number }
