/**
 * Journal records as keyed records.
 */
import { Just, Nothing, type Maybe } from 'purify-ts/Maybe'
import * as z from 'zod'
import { JobSubmission } from '../jobs/job-submission.js'
import type { JournalRecord } from '../jobs/journal-record.js'
import type { TaskProgress } from '../jobs/task-progress.js'
import { WaveProgress } from '../jobs/wave-progress.js'
import type { KeyedRecord } from './keyed-record.js'
import { parseJson } from './parse-json.js'

/** Phases in the order of their numbers in rows. */
const PHASES = ['waiting', 'placed', 'done', 'failed'] as const

/** Phase, run, failed runs, worker, incarnation, checkpoint. Rows are short, because steps are rewritten whole. */
const Row = z.tuple([z.number().int().min(0).max(PHASES.length - 1), z.number(), z.array(z.number()), z.string(), z.number(), z.string()])
const Rows = z.array(Row)
const Term = z.object({ term: z.number(), holder: z.string(), isReleased: z.boolean(), at: z.number() })

const Outcome = z.object({ queue: z.string(), state: z.enum(['completed', 'failed', 'cancelled']) })
const Order = z.object({ term: z.number(), at: z.number() })

const NOTHING = Buffer.alloc(0)

/** Keys of submissions: `job/ID`, `cancel/ID`; of decisions: `verdict/ID`, `step/ID/OCCURRENCE/STEP`, `over/ID`, `term`, `wave/NUMBER`, `order/VM`. */
export class JournalCodec {
  /** An outcome also drops the other decisions on the job. */
  static encode (record: JournalRecord): KeyedRecord[] {
    switch (record.kind) {
      case 'submission': return [this._json(`job/${record.submission.id}`, record.submission)]
      case 'cancellation': return [this._json(`cancel/${record.job}`, {})]
      case 'disposal': return [{ key: `job/${record.job}`, value: NOTHING }, { key: `cancel/${record.job}`, value: NOTHING }]
      case 'verdict': return [this._json(`verdict/${record.job}`, {})]
      case 'progress': return [this._json(`step/${record.job}/${record.occurrence}/${record.step}`, record.tasks.map(task => this._row(task)))]
      case 'term': return [this._json('term', { term: record.term, holder: record.holder, isReleased: record.isReleased, at: record.at })]
      case 'wave': return [this._json(`wave/${record.progress.wave}`, record.progress)]
      case 'order': return [this._json(`order/${record.virtualMachine}`, { term: record.term, at: record.at })]
      case 'outcome': return this._outcome(record)
      case 'retirement': return [{ key: `over/${record.job}`, value: NOTHING }]
    }
  }

  /** Nothing for keys that tell no more than others do, and for what can't be read. */
  static decode ({ key, value }: KeyedRecord): Maybe<JournalRecord> {
    const [kind, id = '', occurrence, step] = key.split('/')
    // The other keys of a job are dropped after its outcome, which says all.
    if (value.length === 0) return kind === 'over' ? Just({ kind: 'retirement', job: id }) : Nothing
    switch (kind) {
      case 'job': return parseJson(JobSubmission, value).toMaybe().map(submission => ({ kind: 'submission', submission }))
      case 'over': return parseJson(Outcome, value).toMaybe().map(outcome => ({ kind: 'outcome', job: id, occurrences: 0, steps: 0, ...outcome }))
      case 'verdict': return Just({ kind: 'verdict', job: id })
      case 'cancel': return Just({ kind: 'cancellation', job: id })
      case 'step': return parseJson(Rows, value).toMaybe().map(rows => ({
        kind: 'progress', job: id, occurrence: Number(occurrence), step: Number(step), tasks: rows.map(row => this._task(row))
      }))
      case 'term': return parseJson(Term, value).toMaybe().map(term => ({ kind: 'term', ...term }))
      case 'wave': return parseJson(WaveProgress, value).toMaybe().map(progress => ({ kind: 'wave', progress }))
      case 'order': return parseJson(Order, value).toMaybe().map(order => ({ kind: 'order', virtualMachine: id, ...order }))
      default: return Nothing
    }
  }

  /** A key of its own, because a late copy of the submission may still come after it. */
  private static _outcome ({ job, queue, state, occurrences, steps }: Extract<JournalRecord, { kind: 'outcome' }>): KeyedRecord[] {
    const keys = [`verdict/${job}`]
    for (let occurrence = 0; occurrence < occurrences; occurrence++) {
      for (let step = 0; step < steps; step++) keys.push(`step/${job}/${occurrence}/${step}`)
    }
    return [this._json(`over/${job}`, { queue, state }), ...keys.map(key => ({ key, value: NOTHING }))]
  }

  private static _row ({ phase, run, failedRuns, worker, incarnation, checkpoint }: TaskProgress): z.infer<typeof Row> {
    return [PHASES.indexOf(phase), run, failedRuns, worker, incarnation, checkpoint]
  }

  private static _task ([phase, run, failedRuns, worker, incarnation, checkpoint]: z.infer<typeof Row>): TaskProgress {
    return { phase: PHASES[phase] ?? 'waiting', run, failedRuns, worker, incarnation, checkpoint }
  }

  private static _json (key: string, document: object): KeyedRecord {
    return { key, value: Buffer.from(JSON.stringify(document), 'utf8') }
  }
}
