/**
 * A deployment with many lasting tasks, whose owners are lost beside their workers.
 */
import { LateCalls } from '../faults/late-calls.js'
import { OwnerLoss } from '../faults/owner-loss.js'
import { PlannedRestart } from '../faults/planned-restart.js'
import { ProcessStalls } from '../faults/process-stalls.js'
import { ResetConnections } from '../faults/reset-connections.js'
import { RestartBeforeOwnerLoss } from '../faults/restart-before-owner-loss.js'
import { WorkerDisconnection } from '../faults/worker-disconnection.js'
import { WorkerRestarts } from '../faults/worker-restarts.js'
import { ZoneDisconnection } from '../faults/zone-disconnection.js'
import { MaintenanceWave } from '../faults/maintenance-wave.js'
import { SoakShape } from '../soak-shape.js'

/** The users' deployment cms-panel: four pools in three zones, leases of 10 s, and series of faults with calm periods between them. */
export class PanelShape extends SoakShape {
  override readonly sizes = { processes: 7, workers: 47, callers: 8 }
  override readonly maximumLeaseMilliseconds = 10_000
  override readonly jobs = { lastingFraction: 0.12, lastingTasks: 5, spreadsLastingTasks: true, maximumTasks: 8, resubmittedFraction: 0.3, pools: ['work', 'work-1', 'work-2', 'work-3'] }
  override readonly schedule = { pauseMilliseconds: { minimum: 100, maximum: 2_500 }, durationMilliseconds: { minimum: 1_000, maximum: 9_000 }, seriesLength: 5, calmMilliseconds: { minimum: 4_000, maximum: 10_000 } }

  override createFaults (): ReturnType<SoakShape['createFaults']> {
    return [
      new OwnerLoss(), new OwnerLoss(), new OwnerLoss(), new ProcessStalls(false), new ProcessStalls(false), new WorkerDisconnection(), new ZoneDisconnection(), new ZoneDisconnection(),
      new WorkerRestarts(), new WorkerRestarts(), new LateCalls(), new LateCalls(), new RestartBeforeOwnerLoss(), new RestartBeforeOwnerLoss(), new PlannedRestart(), new ResetConnections(), new MaintenanceWave()
    ]
  }
}
