/**
 * Fault: jobs with a task that crashes its workers.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Maximum number of jobs per fault. */
const MAXIMUM_JOBS = 2

/** Gives the next jobs a task that crashes every worker that starts it. */
export class DeadlyJobs extends SoakFault {
  override readonly name = 'deadly jobs'

  override async begin ({ ledger }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    ledger.deadlyJobsDue += 1 + random.integer(MAXIMUM_JOBS)
    return () => {}
  }
}
