/**
 * The default attribution of crashes.
 */
import type { AttributedCrash } from '../crashes/attributed-crash.js'
import { CrashAttributionPolicy } from '../crashes/crash-attribution-policy.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'

/**
 * Suspects the runs that had not been running for long when the worker was last heard. Members of a gang count as one run.
 * Tasks that last are left out once they have been running for long: over their life many workers may crash under them.
 */
export class RecentStartAttributionPolicy extends CrashAttributionPolicy {
  override attribute (worker: FleetWorker): AttributedCrash[] {
    const started = [...worker.tasks].filter(({ runState }) => runState !== 'intended')
    const suspects = started.filter(({ isOnTrial }) => isOnTrial)
    const isUnambiguous = new Set(suspects.map(({ isolationGroup }) => isolationGroup)).size === 1
    return started.filter(({ isStable }) => !isStable).map(task => ({ task, run: task.run, role: this._role(task, isUnambiguous) }))
  }

  private _role ({ isConfirmed, isOnTrial }: ScheduledTask, isUnambiguous: boolean): AttributedCrash['role'] {
    if (!isConfirmed) return 'unconfirmed'
    if (!isOnTrial) return 'bystander'
    return isUnambiguous ? 'culprit' : 'suspect'
  }
}
