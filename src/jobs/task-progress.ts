/**
 * Progress of one task, as stored in the journal.
 */
import * as z from 'zod'
import { LateStart } from './late-start.js'
import { RunCrash } from './run-crash.js'

/** A copy of a placed task: a second run, on another worker. */
const TaskCopyProgress = z.object({
  /** Number of the copy's run, higher than that of the task's own run; the same if the copy has become that run. */
  run: z.number().int().min(1),
  /** Worker of the copy; empty once the copy has ended or has become the task's own run, when only the number still counts. */
  worker: z.string(),
  incarnation: z.number(),
  /** As in `TaskProgress`. */
  isStarted: z.boolean().optional(),
  isReported: z.boolean().optional(),
  placementNumber: z.number().int().min(1).optional()
})

/** One row of a step's progress record. */
export const TaskProgress = z.object({
  /** `placed`: a run has been decided on and may be active; only proof that it isn't ends this phase. */
  phase: z.enum(['waiting', 'placed', 'done', 'failed']),
  /** Number of the newest run, but for that of a copy; 0 before the first. */
  run: z.number().int().min(0),
  /** Whether a run may have begun; not if every start so far was refused. Always true while the task is placed. */
  hasBegun: z.boolean(),
  /** Numbers of the failed runs; not a count, because a later owner may receive the same run completion again. */
  failedRuns: z.array(z.number().int()),
  /** Worker of the newest run; empty unless placed. */
  worker: z.string(),
  /** Incarnation of that worker: epoch milliseconds of its start. */
  incarnation: z.number(),
  /** Reading of that worker's clock when the run was decided on, in milliseconds; only of a placed task that lasts, and missing in records of older versions. */
  placedAtClock: z.number().optional(),
  /** Whether the worker has accepted the start of that run or has reported it, so that no start is on its way; only of a placed task. */
  isStarted: z.boolean().optional(),
  /** Whether that incarnation has reported the run, so that the run ends with it; only of a placed task. */
  isReported: z.boolean().optional(),
  /** Number of the placement, higher than those of all earlier ones; only of a placed task whose start may be on its way, and missing in records of older versions. */
  placementNumber: z.number().int().min(1).optional(),
  /** The newest copy; only of a placed task that has had one since its run was placed. */
  copy: TaskCopyProgress.optional(),
  /** A start of an earlier run that may still be carried out; only of a waiting or placed task. */
  lateStart: LateStart.optional(),
  /** Newest checkpoint; empty for none. */
  checkpoint: z.string(),
  /** Runs under which their worker crashed, or may have. */
  crashes: z.array(RunCrash)
})
export type TaskProgress = z.infer<typeof TaskProgress>
