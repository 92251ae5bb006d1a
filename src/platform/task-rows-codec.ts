/**
 * Encodes and decodes the progress of a step's tasks.
 */
import * as z from 'zod'
import type { RunCrash } from '../jobs/run-crash.js'
import type { TaskProgress } from '../jobs/task-progress.js'
import { UnprovenEnd } from '../jobs/unproven-end.js'

type CopyProgress = NonNullable<TaskProgress['copy']>

/** Largest number of rows that is looked at: that of all tasks of a job. More would be as many findings in memory if they are invalid. */
const MAXIMUM_ROWS = 20_000

/** Task phases; the index of a phase is its number in a row. */
const PHASES = ['waiting', 'placed', 'done', 'failed'] as const

/** Roles of a run in a crash; the index of a role is its number in a row. */
const CRASH_ROLES = ['bystander', 'suspect', 'culprit', 'unconfirmed'] as const

/** What tells for or against the run: least and greatest age, rate of ends, rivals. */
const EvidenceRow = z.tuple([z.number(), z.number(), z.number(), z.number().int()])

/** Run, role, the end of the worker that isn't proved yet or null, and the evidence. */
const CrashRow = z.tuple([z.number().int(), z.number().int().min(0).max(CRASH_ROLES.length - 1), UnprovenEnd.nullable().optional(), EvidenceRow.optional()])

const PhaseNumber = z.number().int().min(0).max(PHASES.length - 1)

/** 1 if the task waits and every start so far was refused, 2 if the start of its run is settled, 3 if the worker has reported the run, else 0. */
const StartState = z.literal([0, 1, 2, 3])

/** The copy of a placed task: run, then, unless it has ended, position of its worker, state of its start (0, 2 or 3 as above), and number of the placement or 0. */
const CopyRow = z.tuple([z.number().int().min(1), z.number().int().min(1).optional(), StartState.optional(), z.number().int().min(0).optional()])

/** A late start: position of its worker, and the fleet time until which it may be carried out. */
const LateStartRow = z.tuple([z.number().int().min(1), z.number()])

/**
 * Phase, run, position of the worker in the list of workers counted from 1 or 0 for none, state of the start, number of the placement or 0 if its start isn't on its way, the worker's clock at the placement
 * or null, checkpoint, failed runs, crashes, copy or null, late start or null. Fields at the end that have their defaults are left out.
 */
const TaskRow = z.tuple([
  PhaseNumber, z.number(), z.number().int().min(0).optional(), StartState.optional(), z.number().int().min(0).optional(), z.number().nullable().optional(), z.string().optional(),
  z.array(z.number()).optional(), z.array(CrashRow).optional(), CopyRow.nullable().optional(), LateStartRow.nullable().optional()
])

/** Returns the schema of a list of rows. It parses all items in one pass: a schema call for each row takes four times as long. */
const rowsOf = <T>(row: z.ZodType<T>): z.ZodType<T[]> => z.array(z.unknown()).max(MAXIMUM_ROWS).pipe(z.array(row))

/** The progress of a step: its workers as ID and incarnation, and a row for each task, or the run number alone for a task that is done (0 for one that hasn't been placed). */
const StepValue = z.object({
  w: rowsOf(z.tuple([z.string(), z.number()])),
  t: rowsOf(z.union([z.number().int().min(0), TaskRow]))
})

/** A row of versions before 0.12.0: phase, run, failed runs, worker, incarnation, checkpoint, crashes, state of the start, the worker's clock, number of the placement. */
const EarlierTaskRow = z.tuple([
  PhaseNumber, z.number(), z.array(z.number()), z.string(), z.number(), z.string(),
  z.array(CrashRow).optional(), StartState.optional(), z.number().nullable().optional(), z.number().int().min(1).optional()
])

/** Number of a TaskRow's fields that are always there. */
const MANDATORY_FIELDS = 2

/** Values of a TaskRow's fields that may be left out at its end. */
const ROW_DEFAULTS = [null, null, 0, 0, 0, null, '', [], [], null, null] as const

/** Shared by all tasks without failed runs or crashes, most of those in the journal. */
const NONE: never[] = []
Object.freeze(NONE)

/**
 * Every change of a task rewrites the rows of its step, and every process reads them all, also over a link of 7 Mbit/s: a fleet that starts a thousand tasks a second filled it with rows that
 * repeated each worker's ID and incarnation.
 */
export class TaskRowsCodec {
  /** Decodes the progress of all tasks of a step. Compiled, because every process reads a thousand such records a second. */
  static readonly schema: z.ZodType<TaskProgress[]> = z.compile(z.union([
    StepValue.transform(({ w, t }) => t.map(row => TaskRowsCodec._decodeRow(row, w))),
    rowsOf(EarlierTaskRow).transform(rows => rows.map(row => TaskRowsCodec._decodeEarlierRow(row)))
  ]))

  /** Returns the document for the progress of all tasks of a step. */
  static encode (tasks: readonly TaskProgress[]): z.infer<typeof StepValue> {
    const workers: Array<[string, number]> = []
    const positions = new Map<string, number>()
    const positionOf = (worker: string, incarnation: number): number => {
      if (worker === '' && incarnation === 0) return 0
      const key = `${worker} ${incarnation}`
      const position = positions.get(key) ?? workers.push([worker, incarnation])
      positions.set(key, position)
      return position
    }
    return {
      t: tasks.map(task => this._encodeTask(
        task, positionOf(task.worker, task.incarnation),
        task.copy ? this._encodeCopy(task.copy, positionOf(task.copy.worker, task.copy.incarnation)) : null,
        task.lateStart ? [positionOf(task.lateStart.worker, task.lateStart.incarnation), task.lateStart.until] : null
      )),
      w: workers
    }
  }

  private static _encodeTask ({ phase, run, hasBegun, failedRuns, isStarted = false, isReported = false, placedAtClock, placementNumber, checkpoint, crashes }: TaskProgress, worker: number, copy: z.infer<typeof CopyRow> | null, lateStart: z.infer<typeof LateStartRow> | null): number | z.infer<typeof TaskRow> {
    const isRefused = run > 0 && !hasBegun
    const row: unknown[] = [PHASES.indexOf(phase), run, worker, isRefused ? 1 : isReported ? 3 : isStarted ? 2 : 0, placementNumber ?? 0, placedAtClock ?? null, checkpoint, failedRuns, crashes.map(crash => this._encodeCrash(crash)), copy, lateStart]
    while (row.length > MANDATORY_FIELDS && this._isDefault(row[row.length - 1], row.length - 1)) row.pop()
    const isPlain = row.length === MANDATORY_FIELDS && (run === 0 ? phase === 'waiting' : phase === 'done')
    return isPlain ? run : row as z.infer<typeof TaskRow>
  }

  private static _isDefault (value: unknown, index: number): boolean {
    return Array.isArray(value) ? value.length === 0 : value === ROW_DEFAULTS[index]
  }

  // Fields are read by their position and added one by one, since destructuring and spreading them took three quarters of the time of decoding a record.
  private static _decodeRow (row: number | z.infer<typeof TaskRow>, workers: ReadonlyArray<readonly [string, number]>): TaskProgress {
    if (typeof row === 'number') return { phase: row === 0 ? 'waiting' : 'done', run: row, hasBegun: row > 0, failedRuns: NONE, worker: '', incarnation: 0, checkpoint: '', crashes: NONE }
    const worker = workers[(row[2] ?? 0) - 1]
    const progress = this._progress(row[0], row[1], row[7] ?? NONE, worker?.[0] ?? '', worker?.[1] ?? 0, row[6] ?? '', row[8] ?? NONE, { start: row[3] ?? 0, placedAtClock: row[5] ?? null, placementNumber: row[4] ?? 0 })
    if (row[9]) progress.copy = this._decodeCopy(row[9], workers)
    const lateWorker = row[10] ? workers[row[10][0] - 1] : undefined
    if (row[10] && lateWorker) progress.lateStart = { worker: lateWorker[0], incarnation: lateWorker[1], until: row[10][1] }
    return progress
  }

  private static _decodeEarlierRow (row: z.infer<typeof EarlierTaskRow>): TaskProgress {
    return this._progress(row[0], row[1], row[2], row[3], row[4], row[5], row[6] ?? [], { start: row[7] ?? 0, placedAtClock: row[8] ?? null, placementNumber: row[9] ?? 0 })
  }

  private static _progress (
    phase: number, run: number, failedRuns: number[], worker: string, incarnation: number, checkpoint: string, crashes: ReadonlyArray<z.infer<typeof CrashRow>>,
    { start, placedAtClock, placementNumber }: { readonly start: z.infer<typeof StartState>, readonly placedAtClock: number | null, readonly placementNumber: number }
  ): TaskProgress {
    const progress: TaskProgress = {
      phase: PHASES[phase] ?? 'waiting',
      run,
      hasBegun: run > 0 && start !== 1,
      failedRuns,
      worker,
      incarnation,
      checkpoint,
      crashes: crashes.length === 0 ? NONE : crashes.map(crash => this._decodeCrash(crash))
    }
    if (placedAtClock !== null) progress.placedAtClock = placedAtClock
    if (start >= 2) progress.isStarted = true
    if (start === 3) progress.isReported = true
    if (placementNumber !== 0) progress.placementNumber = placementNumber
    return progress
  }

  private static _encodeCopy ({ run, worker, isStarted = false, isReported = false, placementNumber = 0 }: CopyProgress, position: number): z.infer<typeof CopyRow> {
    return worker === '' ? [run] : [run, position, isReported ? 3 : isStarted ? 2 : 0, placementNumber]
  }

  private static _decodeCopy ([run, position, start = 0, placementNumber = 0]: z.infer<typeof CopyRow>, workers: ReadonlyArray<readonly [string, number]>): CopyProgress {
    const worker = position === undefined ? undefined : workers[position - 1]
    return {
      run,
      worker: worker?.[0] ?? '',
      incarnation: worker?.[1] ?? 0,
      ...start >= 2 ? { isStarted: true } : {},
      ...start === 3 ? { isReported: true } : {},
      ...placementNumber > 0 ? { placementNumber } : {}
    }
  }

  private static _encodeCrash ({ run, role, unprovenEnd, evidence }: RunCrash): z.infer<typeof CrashRow> {
    const number = CRASH_ROLES.indexOf(role)
    if (evidence) return [run, number, unprovenEnd ?? null, [evidence.minimumAge, evidence.maximumAge, evidence.rate, evidence.rivals]]
    return unprovenEnd ? [run, number, unprovenEnd] : [run, number]
  }

  private static _decodeCrash ([run, role, unprovenEnd, evidence]: z.infer<typeof CrashRow>): RunCrash {
    return {
      run,
      role: CRASH_ROLES[role] ?? 'bystander',
      ...unprovenEnd ? { unprovenEnd } : {},
      ...evidence ? { evidence: { minimumAge: evidence[0], maximumAge: evidence[1], rate: evidence[2], rivals: evidence[3] } } : {}
    }
  }
}
