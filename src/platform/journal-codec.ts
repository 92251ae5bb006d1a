/**
 * Encodes and decodes job journal records as keyed records.
 */
import { Just, Nothing, type Maybe } from 'purify-ts/Maybe'
import * as z from 'zod'
import { JobSubmission } from '../jobs/job-submission.js'
import type { JournalRecord } from '../jobs/journal-record.js'
import { LeaseRenewals } from '../jobs/lease-renewals.js'
import type { RunCrash } from '../jobs/run-crash.js'
import { SettledStarts } from '../jobs/settled-starts.js'
import type { TaskProgress } from '../jobs/task-progress.js'
import { UnprovenEnd } from '../jobs/unproven-end.js'
import { VirtualMachineOrder } from '../jobs/virtual-machine-order.js'
import { WaveProgress } from '../jobs/wave-progress.js'
import { listOf } from '../schemas/list-of.js'
import type { KeyedRecord } from './keyed-record.js'
import { parseJson } from './parse-json.js'

/** Task phases; the index of a phase is its number in a row. */
const PHASES = ['waiting', 'placed', 'done', 'failed'] as const

/** Roles of a run in a crash; the index of a role is its number in a row. */
const CRASH_ROLES = ['bystander', 'suspect', 'culprit', 'unconfirmed'] as const

/** Run, role, and the end of the worker that isn't proved yet. */
const CrashRow = z.tuple([z.number().int(), z.number().int().min(0).max(CRASH_ROLES.length - 1), UnprovenEnd.optional()])

/**
 * Phase, run, failed runs, worker, incarnation, checkpoint, crashes if there are any, a 1 if the task waits and every start so far was refused a 2 if the start of its run is settled or a 3 if the worker has reported the run, the worker's clock at the placement or null, and the number of the
 * placement if its start may be on its way. A compact tuple, because every change rewrites all rows of a step.
 */
const TaskRow = z.tuple([
  z.number().int().min(0).max(PHASES.length - 1), z.number(), z.array(z.number()), z.string(), z.number(), z.string(),
  z.array(CrashRow).optional(), z.literal([0, 1, 2, 3]).optional(), z.number().nullable().optional(), z.number().int().min(1).optional()
])
const TaskRows = listOf(TaskRow)
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
const LeaseBoundValue = z.object({ incarnation: z.number(), term: z.number(), at: z.number(), expiresAt: z.number(), address: z.string().optional(), refusesConnections: z.boolean().optional(), hasSuccessor: z.boolean().optional() })

const TOMBSTONE = Buffer.alloc(0)

/**
 * Keys of submissions are `job/ID`, `cancel/ID` and `ended/PROCESS`; keys of decisions are `verdict/ID`, `step/ID/OCCURRENCE/STEP`, `over/ID`, `term`,
 * `wave/NUMBER`, `order/VM`, `lease/WORKER` and `starts`.
 */
export class JournalCodec {
  /** An outcome also deletes the keys of the job's other decisions. */
  static encode (record: JournalRecord): KeyedRecord[] {
    switch (record.kind) {
      case 'submission': return [this._jsonRecord(`job/${record.submission.id}`, record.submission)]
      case 'cancellation': return [this._jsonRecord(`cancel/${record.job}`, {})]
      case 'disposal': return [{ key: `job/${record.job}`, value: TOMBSTONE }, { key: `cancel/${record.job}`, value: TOMBSTONE }]
      case 'verdict': return [this._jsonRecord(`verdict/${record.job}`, {})]
      case 'progress': return [this._jsonRecord(`step/${record.job}/${record.occurrence}/${record.step}`, record.tasks.map(task => this._encodeTask(task)))]
      case 'term': return [this._jsonRecord('term', this._termValue(record))]
      case 'holder-end': return [this._jsonRecord(`ended/${record.process}`, { holder: record.holder })]
      case 'wave': return [this._jsonRecord(`wave/${record.progress.wave}`, record.progress)]
      case 'order': return [this._jsonRecord(`order/${record.virtualMachine}`, this._orderValue(record))]
      case 'lease-bound': return [this._jsonRecord(`lease/${record.worker}`, this._leaseBoundValue(record))]
      case 'lease-bound-withdrawal': return [{ key: `lease/${record.worker}`, value: TOMBSTONE }]
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
      case 'step': return parseJson(TaskRows, value).toMaybe().map(rows => ({
        kind: 'progress', job: id, occurrence: Number(occurrence), step: Number(step), tasks: rows.map(row => this._decodeTask(row))
      }))
      case 'term': return parseJson(TermValue, value).toMaybe().map(term => ({ kind: 'term', ...term }))
      case 'ended': return parseJson(HolderEndValue, value).toMaybe().map(({ holder }) => ({ kind: 'holder-end', process: id, holder }))
      case 'wave': return parseJson(WaveProgress, value).toMaybe().filter(progress => String(progress.wave) === id).map(progress => ({ kind: 'wave', progress }))
      case 'order': return parseJson(VirtualMachineOrder, value).toMaybe().map(order => ({ kind: 'order', virtualMachine: id, ...order }))
      case 'lease': return parseJson(LeaseBoundValue, value).toMaybe().map(bound => ({ kind: 'lease-bound', worker: id, ...bound }))
      case 'starts': return parseJson(SettledStarts, value).toMaybe().map(starts => ({ kind: 'settled-starts', starts }))
      default: return Nothing
    }
  }

  /** The other deletions don't matter: a job's keys are deleted after its outcome, which supersedes them. */
  private static _decodeDeletion (kind: string, id: string): Maybe<JournalRecord> {
    if (kind === 'over') return Just({ kind: 'retirement', job: id })
    if (kind === 'cancel') return Just({ kind: 'disposal', job: id })
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

  /** An outcome has its own key, because a delayed copy of the submission may still be appended after it. */
  private static _encodeOutcome ({ job, queue, state, occurrences, steps }: Extract<JournalRecord, { kind: 'outcome' }>): KeyedRecord[] {
    const keys = [`verdict/${job}`]
    for (let occurrence = 0; occurrence < occurrences; occurrence++) {
      for (let step = 0; step < steps; step++) keys.push(`step/${job}/${occurrence}/${step}`)
    }
    return [this._jsonRecord(`over/${job}`, { queue, state }), ...keys.map(key => ({ key, value: TOMBSTONE }))]
  }

  private static _encodeTask ({ phase, run, hasBegun, failedRuns, worker, incarnation, placedAtClock, isStarted = false, isReported = false, placementNumber, checkpoint, crashes }: TaskProgress): z.infer<typeof TaskRow> {
    const row: z.infer<typeof TaskRow> = [PHASES.indexOf(phase), run, failedRuns, worker, incarnation, checkpoint]
    const isRefused = run > 0 && !hasBegun
    const isNumbered = placementNumber !== undefined
    const isTimed = placedAtClock !== undefined || isNumbered
    if (crashes.length > 0 || isRefused || isStarted || isTimed) row[6] = crashes.map(crash => this._encodeCrash(crash))
    if (isRefused || isStarted || isTimed) row[7] = isRefused ? 1 : isReported ? 3 : isStarted ? 2 : 0
    if (isTimed) row[8] = placedAtClock ?? null
    if (isNumbered) row[9] = placementNumber
    return row
  }

  private static _decodeTask ([phase, run, failedRuns, worker, incarnation, checkpoint, crashes = [], starts = 0, placedAtClock = null, placementNumber]: z.infer<typeof TaskRow>): TaskProgress {
    return {
      phase: PHASES[phase] ?? 'waiting',
      run,
      hasBegun: run > 0 && starts !== 1,
      failedRuns,
      worker,
      incarnation,
      ...placedAtClock === null ? {} : { placedAtClock },
      ...starts >= 2 ? { isStarted: true } : {},
      ...starts === 3 ? { isReported: true } : {},
      ...placementNumber === undefined ? {} : { placementNumber },
      checkpoint,
      crashes: crashes.map(crash => this._decodeCrash(crash))
    }
  }

  private static _encodeCrash ({ run, role, unprovenEnd }: RunCrash): z.infer<typeof CrashRow> {
    return unprovenEnd ? [run, CRASH_ROLES.indexOf(role), unprovenEnd] : [run, CRASH_ROLES.indexOf(role)]
  }

  private static _decodeCrash ([run, role, unprovenEnd]: z.infer<typeof CrashRow>): RunCrash {
    return { run, role: CRASH_ROLES[role] ?? 'bystander', ...unprovenEnd ? { unprovenEnd } : {} }
  }

  private static _jsonRecord (key: string, document: object): KeyedRecord {
    return { key, value: Buffer.from(JSON.stringify(document), 'utf8') }
  }
}
