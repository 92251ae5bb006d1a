/**
 * Decodes a worker's lists of runs.
 */
import { Either, Left, Right } from 'purify-ts/Either'
import * as z from 'zod'
import type { WorkerReport } from '../workers/worker-report.js'
import { parseJson } from './parse-json.js'

/** Maximum number of ends in one response; the others follow once these are acknowledged. */
const MAXIMUM_ENDS = 500

/** Task, run, checkpoint, percent, and for some the load. */
const RunningRow = z.tuple([z.string(), z.number(), z.string(), z.number()]).rest(z.number())
const EndedRow = z.tuple([z.number(), z.string(), z.number(), z.enum(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']), z.string()])

const LISTS = { born: z.number().default(0), clock_ms: z.number() }
/** Compiled, because an owner decodes a thousand reports a second. */
const RunLists = z.compile(z.object({ ...LISTS, running: z.array(RunningRow).default([]), ended: z.array(EndedRow).default([]) }))
const UncheckedRunLists = z.object({ ...LISTS, running: z.array(z.unknown()).default([]), ended: z.array(z.unknown()).default([]) })

/** An end of which only the number is known, or what became of the run isn't. */
const UncheckedEndedRow = z.tuple([z.number().int(), z.string().catch(''), z.number().catch(0)]).rest(z.unknown())

type ActiveRun = WorkerReport['running'][number]
type RunCompletion = WorkerReport['ended'][number]

/** A row that can't be decoded doesn't make the others unknown, but shows that the lists may lack something. */
export class RunListsCodec {
  /** Returns the report, or a message if the response has no lists or no clock. */
  static decode (body: Buffer): Either<string, WorkerReport> {
    return parseJson(RunLists, body).map((lists): WorkerReport => ({
      incarnation: lists.born,
      clock: lists.clock_ms,
      running: lists.running.map(row => this._decodeRunning(row)),
      ended: lists.ended.map(row => this._decodeEnded(row)),
      isComplete: lists.ended.length < MAXIMUM_ENDS,
      unreadableRows: 0
    })).chainLeft(message => this._decodeReadable(body).mapLeft(() => message))
  }

  private static _decodeReadable (body: Buffer): Either<string, WorkerReport> {
    return parseJson(UncheckedRunLists, body).map((lists): WorkerReport => {
      const running = lists.running.map(row => this._parse(RunningRow, row).map(parsed => this._decodeRunning(parsed)))
      const ended = lists.ended.map(row => this._parse(EndedRow, row).map(parsed => this._decodeEnded(parsed)))
      return {
        incarnation: lists.born,
        clock: lists.clock_ms,
        running: Either.rights(running),
        ended: Either.rights(ended.map((completion, index) => completion.alt(this._decodeUncheckedEnded(lists.ended[index])))),
        isComplete: false,
        unreadableRows: Either.lefts(running).length + Either.lefts(ended).length
      }
    })
  }

  private static _parse<T> (schema: z.ZodType<T>, row: unknown): Either<string, T> {
    const parsed = schema.safeParse(row)
    return parsed.success ? Right(parsed.data) : Left(parsed.error.message)
  }

  private static _decodeRunning ([task, run, checkpoint, percent, load = 0]: z.infer<typeof RunningRow>): ActiveRun {
    return { task, run, checkpoint, percent, load }
  }

  private static _decodeEnded ([sequence, task, run, result, checkpoint]: z.infer<typeof EndedRow>): RunCompletion {
    return { sequence, task, run, result, checkpoint }
  }

  /** An end of an unknown kind left no result, as a stopped run; unless it is acknowledged the worker returns it for ever. */
  private static _decodeUncheckedEnded (row: unknown): Either<string, RunCompletion> {
    return this._parse(UncheckedEndedRow, row).map(([sequence, task, run]): RunCompletion => ({ sequence, task, run, result: 'stopped', checkpoint: '' }))
  }
}
