/**
 * Points in time. The system stores deadlines, never durations.
 */
import * as z from 'zod'

/** Milliseconds since 1970-01-01T00:00:00Z. */
export const EpochMilliseconds = z.number().int().nonnegative()
export type EpochMilliseconds = z.infer<typeof EpochMilliseconds>
