/**
 * Decodes worker entries of the platform's registry.
 */
import { Just, type Maybe } from 'purify-ts/Maybe'
import * as z from 'zod'
import type { WorkerChange } from '../scheduling/worker-change.js'
import type { KeyedRecord } from './keyed-record.js'
import { parseJson } from './parse-json.js'
import { WireResources } from './wire-resources.js'

const WireWorkerEntry = z.object({
  service: z.string().min(1),
  address: z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/),
  zone: z.string().min(1),
  state: z.enum(['ready', 'draining']),
  born: z.number().default(0),
  capacity: WireResources,
  labels: z.array(z.string()).default([])
})

/** IDs that can stand in a header of a call to the worker. */
const WORKER_ID = /^[\x21-\x7e]+$/

/** An empty value removes the worker; an entry that can't be parsed becomes an `unreadable` change. */
export class WorkerCodec {
  static decode ({ key: id, value }: KeyedRecord): Maybe<WorkerChange> {
    if (value.length === 0) return Just({ kind: 'removed', id })
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
