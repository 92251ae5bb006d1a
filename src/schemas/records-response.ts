/**
 * What a peer answers when asked for records.
 */
import * as z from 'zod'
import { FleetSnapshot } from './fleet-snapshot.js'
import { LogPage } from './log-page.js'

/** Records after the offset asked for, or the whole state where the peer no longer keeps them. */
export const RecordsResponse = z.object({
  records: LogPage.shape.records,
  snapshot: FleetSnapshot.nullable()
})
export type RecordsResponse = z.infer<typeof RecordsResponse>
