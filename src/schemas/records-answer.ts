/**
 * What a peer answers when asked for records.
 */
import * as z from 'zod'
import { FleetSnapshot } from './fleet-snapshot.js'
import { LogPage } from './log-page.js'

/** Records after the offset asked for, or the whole state where the peer no longer keeps them. */
export const RecordsAnswer = z.object({
  records: LogPage.shape.records,
  snapshot: FleetSnapshot.nullable()
})
export type RecordsAnswer = z.infer<typeof RecordsAnswer>
