/**
 * Decodes worker entries of the platform's registry.
 */
import { Just, type Maybe } from 'purify-ts/Maybe'
import * as z from 'zod'
import type { WorkerChange } from '../workers/worker-change.js'
import { listOf } from '../schemas/list-of.js'
import type { KeyedRecord } from './keyed-record.js'
import { parseJson } from './parse-json.js'
import { WireAddress } from './wire-address.js'
import { WireResources } from './wire-resources.js'

/** Maximum size of an entry in bytes; a worker's own has a few hundred. */
const MAXIMUM_ENTRY_BYTES = 16_384

/** A worker writes all fields, also those that aren't used here: an entry that lacks one comes from another writer. */
const WireWorkerEntry = z.object({
  service: z.string().min(1),
  address: WireAddress,
  zone: z.string().min(1),
  version: z.string(),
  slots: z.number().int().min(0),
  state: z.enum(['ready', 'draining']),
  cold_remaining_ms: z.number().min(0),
  seq: z.number().int().min(0),
  born: z.number().int().min(0).default(0),
  capacity: WireResources,
  labels: listOf(z.string())
})

/** IDs that can stand in a header of a call to the worker. */
const WORKER_ID = /^[\x21-\x7e]+$/

/** An empty value removes the worker; an entry that can't be parsed becomes an `unreadable` change. */
export class WorkerCodec {
  static decode ({ key: id, value }: KeyedRecord): Maybe<WorkerChange> {
    if (value.length === 0) return Just({ kind: 'removed', id })
    if (value.length > MAXIMUM_ENTRY_BYTES) return Just({ kind: 'unreadable', id, cause: `the entry has more than ${MAXIMUM_ENTRY_BYTES} bytes` })
    if (!WORKER_ID.test(id)) return Just({ kind: 'unreadable', id, cause: 'the ID has characters other than printable ASCII' })
    return Just(parseJson(WireWorkerEntry, value).caseOf<WorkerChange>({
      Left: cause => ({ kind: 'unreadable', id, cause }),
      Right: entry => ({
        kind: 'listed',
        entry: {
          id,
          incarnation: entry.born,
          pool: entry.service,
          address: entry.address,
          availabilityZone: entry.zone,
          capacity: entry.capacity,
          labels: entry.labels,
          isDraining: entry.state === 'draining'
        }
      })
    }))
  }
}
