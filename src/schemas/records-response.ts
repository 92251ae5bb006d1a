/**
 * The response of a peer to a request for records.
 */
import * as z from 'zod'
import { FleetSnapshot } from './fleet-snapshot.js'
import { LogPage } from './log-page.js'

/** Records after the requested offset, or a snapshot if the peer no longer keeps them. */
export const RecordsResponse = z.object({
  records: LogPage.shape.records,
  snapshot: FleetSnapshot.nullable()
})
export type RecordsResponse = z.infer<typeof RecordsResponse>
