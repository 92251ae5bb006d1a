/**
 * Purposes of records appended to the log.
 */
import * as z from 'zod'

/** Purposes in descending priority: when too many records are queued, those of the last purposes are shed first. */
export const AppendPurpose = z.enum(['operators', 'members', 'leases', 'operations', 'grants', 'claims', 'outcomes', 'snapshots'])
export type AppendPurpose = z.infer<typeof AppendPurpose>
