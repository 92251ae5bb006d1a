/**
 * A crash, proved or possible, of a worker under one of its runs.
 */
import * as z from 'zod'
import { CrashEvidence } from './crash-evidence.js'
import { UnprovenEnd } from './unproven-end.js'

/** The part that a run may have had in the crash of its worker. */
export const RunCrash = z.object({
  /** Number of the run. */
  run: z.number().int(),
  /**
   * `culprit`: the only run that had just started; `suspect`: one of several that had; `bystander`: it had been running for a while;
   * `unconfirmed`: the worker had neither accepted its start nor reported it, so that it may not have begun.
   */
  role: z.enum(['bystander', 'suspect', 'culprit', 'unconfirmed']),
  /** Missing once it is proved that the worker has crashed; until then the crash doesn't count. */
  unprovenEnd: UnprovenEnd.optional(),
  /** Missing in rows of older versions. */
  evidence: CrashEvidence.optional()
})
export type RunCrash = z.infer<typeof RunCrash>
