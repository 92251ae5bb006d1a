/**
 * What appends to the log are for.
 */
import * as z from 'zod'

/** Purposes, the most urgent first: under pressure the last ones are shed first. */
export const AppendPurpose = z.enum(['operators', 'members', 'leases', 'operations', 'grants', 'claims', 'outcomes', 'snapshots'])
export type AppendPurpose = z.infer<typeof AppendPurpose>
