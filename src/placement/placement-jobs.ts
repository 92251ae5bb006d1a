/**
 * Dependencies of placement on the side of the jobs.
 */
import type { CrashVerdicts } from '../crashes/crash-verdicts.js'
import type { FleetSchedule } from '../scheduling/fleet-schedule.js'
import type { ScheduledJobTable } from '../scheduling/scheduled-job-table.js'
import type { WorkingSet } from './working-set.js'

/** The jobs with waiting steps, and the schedule in which their placements are recorded. */
export interface PlacementJobs {
  readonly schedule: FleetSchedule
  readonly table: ScheduledJobTable
  readonly workingSet: WorkingSet
  readonly verdicts: CrashVerdicts
}
