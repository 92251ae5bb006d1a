/**
 * Encodes and decodes job journal records as keyed records.
 */
import { Just, Nothing, type Maybe } from 'purify-ts/Maybe'
import * as z from 'zod'
import { JobSubmission } from '../jobs/job-submission.js'
import type { JournalRecord } from '../jobs/journal-record.js'
import { LeaseRenewals } from '../jobs/lease-renewals.js'
import { SettledStarts } from '../jobs/settled-starts.js'
import { VirtualMachineOrder } from '../jobs/virtual-machine-order.js'
import { WaveProgress } from '../jobs/wave-progress.js'
import type { KeyedRecord } from './keyed-record.js'
import { parseJson } from './parse-json.js'
import { TaskRowsCodec } from './task-rows-codec.js'

const TermValue = z.object({
  term: z.number(),
  holder: z.string(),
  process: z.string().optional(),
  isReleased: z.boolean(),
  at: z.number(),
  othersRenewUntil: z.number().optional(),
  renewals: LeaseRenewals.nullable().optional()
})
const HolderEndValue = z.object({ holder: z.string() })

const OutcomeValue = z.object({ queue: z.string(), state: z.enum(['completed', 'failed', 'cancelled']) })
const LeaseBoundValue = z.object({ incarnation: z.number(), term: z.number(), at: z.number(), expiresAt: z.number(), startsExpireAt: z.number().optional(), address: z.string().optional(), refusesConnections: z.boolean().optional(), hasSuccessor: z.boolean().optional() })
const LongestLeaseValue = z.object({ incarnation: z.number(), at: z.number(), expiresAt: z.number() })

const TOMBSTONE = Buffer.alloc(0)

/**
 * Keys of submissions are `job/ID`, `cancel/ID` and `ended/PROCESS`; keys of decisions are `verdict/ID`, `step/ID/OCCURRENCE/STEP`, `over/ID`, `term`,
 * `wave/NUMBER`, `order/VM`, `lease/WORKER`, `longest/WORKER` and `starts`.
 */
export class JournalCodec {
  /** An outcome also deletes the keys of the job's other decisions. */
  static encode (record: JournalRecord): KeyedRecord[] {
    switch (record.kind) {
      case 'submission': return [this._jsonRecord(`job/${record.submission.id}`, record.submission)]
      case 'cancellation': return [this._jsonRecord(`cancel/${record.job}`, {})]
      case 'disposal': return [{ key: `job/${record.job}`, value: TOMBSTONE }, { key: `cancel/${record.job}`, value: TOMBSTONE }]
      case 'verdict': return [this._jsonRecord(`verdict/${record.job}`, {})]
      case 'progress': return [this._jsonRecord(`step/${record.job}/${record.occurrence}/${record.step}`, TaskRowsCodec.encode(record.tasks))]
      case 'term': return [this._jsonRecord('term', this._termValue(record))]
      case 'holder-end': return [this._jsonRecord(`ended/${record.process}`, { holder: record.holder })]
      case 'wave': return [this._jsonRecord(`wave/${record.progress.wave}`, record.progress)]
      case 'order': return [this._jsonRecord(`order/${record.virtualMachine}`, this._orderValue(record))]
      case 'lease-bound': return [this._jsonRecord(`lease/${record.worker}`, this._leaseBoundValue(record))]
      case 'lease-bound-withdrawal': return [{ key: `lease/${record.worker}`, value: TOMBSTONE }]
      case 'longest-lease': return [this._jsonRecord(`longest/${record.worker}`, this._longestLeaseValue(record))]
      case 'longest-lease-end': return [{ key: `longest/${record.worker}`, value: TOMBSTONE }]
      case 'settled-starts': return [this._jsonRecord('starts', record.starts)]
      case 'outcome': return this._encodeOutcome(record)
      case 'retirement': return [{ key: `over/${record.job}`, value: TOMBSTONE }]
    }
  }

  /** Returns nothing for redundant deletions, unknown keys, and values that can't be parsed or belong to another key. */
  static decode ({ key, value }: KeyedRecord): Maybe<JournalRecord> {
    const [kind = '', id = '', occurrence, step] = key.split('/')
    if (value.length === 0) return this._decodeDeletion(kind, id)
    switch (kind) {
      case 'job': return parseJson(JobSubmission, value).toMaybe().filter(submission => submission.id === id).map(submission => ({ kind: 'submission', submission }))
      case 'over': return parseJson(OutcomeValue, value).toMaybe().map(outcome => ({ kind: 'outcome', job: id, occurrences: 0, steps: 0, ...outcome }))
      case 'verdict': return Just({ kind: 'verdict', job: id })
      case 'cancel': return Just({ kind: 'cancellation', job: id })
      case 'step': return parseJson(TaskRowsCodec.schema, value).toMaybe().map(tasks => ({ kind: 'progress', job: id, occurrence: Number(occurrence), step: Number(step), tasks }))
      case 'term': return parseJson(TermValue, value).toMaybe().map(term => ({ kind: 'term', ...term }))
      case 'ended': return parseJson(HolderEndValue, value).toMaybe().map(({ holder }) => ({ kind: 'holder-end', process: id, holder }))
      case 'wave': return parseJson(WaveProgress, value).toMaybe().filter(progress => String(progress.wave) === id).map(progress => ({ kind: 'wave', progress }))
      case 'order': return parseJson(VirtualMachineOrder, value).toMaybe().map(order => ({ kind: 'order', virtualMachine: id, ...order }))
      case 'lease': return parseJson(LeaseBoundValue, value).toMaybe().map(bound => ({ kind: 'lease-bound', worker: id, ...bound }))
      case 'longest': return parseJson(LongestLeaseValue, value).toMaybe().map(lease => ({ kind: 'longest-lease', worker: id, ...lease }))
      case 'starts': return parseJson(SettledStarts, value).toMaybe().map(starts => ({ kind: 'settled-starts', starts }))
      default: return Nothing
    }
  }

  /** The other deletions don't matter: a job's keys are deleted after its outcome, which supersedes them. */
  private static _decodeDeletion (kind: string, id: string): Maybe<JournalRecord> {
    if (kind === 'over') return Just({ kind: 'retirement', job: id })
    if (kind === 'cancel') return Just({ kind: 'disposal', job: id })
    if (kind === 'longest') return Just({ kind: 'longest-lease-end', worker: id })
    return kind === 'lease' ? Just({ kind: 'lease-bound-withdrawal', worker: id }) : Nothing
  }

  private static _termValue ({ kind, ...value }: Extract<JournalRecord, { kind: 'term' }>): z.infer<typeof TermValue> {
    return value
  }

  private static _orderValue ({ kind, virtualMachine, ...value }: Extract<JournalRecord, { kind: 'order' }>): VirtualMachineOrder {
    return value
  }

  private static _leaseBoundValue ({ kind, worker, ...value }: Extract<JournalRecord, { kind: 'lease-bound' }>): z.infer<typeof LeaseBoundValue> {
    return value
  }

  private static _longestLeaseValue ({ kind, worker, ...value }: Extract<JournalRecord, { kind: 'longest-lease' }>): z.infer<typeof LongestLeaseValue> {
    return value
  }

  /** An outcome has its own key, because a delayed copy of the submission may still be appended after it. */
  private static _encodeOutcome ({ job, queue, state, occurrences, steps }: Extract<JournalRecord, { kind: 'outcome' }>): KeyedRecord[] {
    const keys = [`verdict/${job}`]
    for (let occurrence = 0; occurrence < occurrences; occurrence++) {
      for (let step = 0; step < steps; step++) keys.push(`step/${job}/${occurrence}/${step}`)
    }
    return [this._jsonRecord(`over/${job}`, { queue, state }), ...keys.map(key => ({ key, value: TOMBSTONE }))]
  }

  private static _jsonRecord (key: string, document: object): KeyedRecord {
    return { key, value: Buffer.from(JSON.stringify(document), 'utf8') }
  }
}
