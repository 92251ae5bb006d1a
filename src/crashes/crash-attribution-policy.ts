/**
 * Interface of the policy that finds out which runs may have crashed their worker.
 */
import type { AttributedCrash } from '../crashes/attributed-crash.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { WithdrawnCrash } from './withdrawn-crash.js'

/** Decides on the part that each run of a crashed worker had in the crash. */
export abstract class CrashAttributionPolicy {
  /** Returns the crashes to record; runs that can't be the cause are left out. */
  abstract attribute (worker: FleetWorker): AttributedCrash[]

  /**
   * Returns the crash to record, or nothing, of a run whose worker has restarted before the present term knew of it.
   *
   * @param incarnation the one in which the run was started.
   */
  attributeInherited (task: ScheduledTask, _worker: FleetWorker, _incarnation: number): AttributedCrash[] {
    return [{ task, run: task.run, role: 'unconfirmed' }]
  }

  /** Returns attributed crashes that, by ends that have been seen since, don't count. */
  reconsider (): WithdrawnCrash[] {
    return []
  }
}
