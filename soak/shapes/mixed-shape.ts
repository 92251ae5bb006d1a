/**
 * A small deployment with faults of every kind.
 */
import { BlackholedConnections } from '../faults/blackholed-connections.js'
import { DeadlyJobs } from '../faults/deadly-jobs.js'
import { DelayedConnections } from '../faults/delayed-connections.js'
import { FleetKill } from '../faults/fleet-kill.js'
import { ForeignEntries } from '../faults/foreign-entries.js'
import { HistoryCompaction } from '../faults/history-compaction.js'
import { KeyWithdrawal } from '../faults/key-withdrawal.js'
import { LateStartAcrossRestart } from '../faults/late-start-across-restart.js'
import { LateStarts } from '../faults/late-starts.js'
import { LostAppendResponses } from '../faults/lost-append-responses.js'
import { MaintenanceWave } from '../faults/maintenance-wave.js'
import { PlannedRestart } from '../faults/planned-restart.js'
import { ProcessKill } from '../faults/process-kill.js'
import { ProcessPause } from '../faults/process-pause.js'
import { ResetConnections } from '../faults/reset-connections.js'
import { SettingsReload } from '../faults/settings-reload.js'
import { ShrinkingCapacity } from '../faults/shrinking-capacity.js'
import { SlowStore } from '../faults/slow-store.js'
import { StoreDisconnection } from '../faults/store-disconnection.js'
import { StoreRefusal } from '../faults/store-refusal.js'
import { WorkerCrash } from '../faults/worker-crash.js'
import { WorkerDisconnection } from '../faults/worker-disconnection.js'
import { ZoneEvacuation } from '../faults/zone-evacuation.js'
import { SoakShape } from '../soak-shape.js'

/** One pool, mostly short jobs, and faults without a calm period. */
export class MixedShape extends SoakShape {
  override readonly sizes = { processes: 6, workers: 12, callers: 8 }
  override readonly maximumLeaseMilliseconds = 6_000
  override readonly jobs = { lastingFraction: 0.03, lastingTasks: 2, spreadsLastingTasks: false, maximumTasks: 4, resubmittedFraction: 0, pools: ['work'] }
  override readonly schedule = { pauseMilliseconds: { minimum: 200, maximum: 3_000 }, durationMilliseconds: { minimum: 300, maximum: 7_000 }, seriesLength: Infinity, calmMilliseconds: { minimum: 0, maximum: 0 } }

  override createFaults (): ReturnType<SoakShape['createFaults']> {
    return [
      new ProcessKill(), new FleetKill(), new ProcessPause(), new PlannedRestart(), new PlannedRestart(), new SettingsReload(),
      new StoreRefusal(), new SlowStore(), new LostAppendResponses(), new HistoryCompaction(), new StoreDisconnection(), new WorkerDisconnection(),
      new DelayedConnections(), new ResetConnections(), new BlackholedConnections(), new WorkerCrash(), new DeadlyJobs(), new LateStartAcrossRestart(), new LateStarts(),
      new MaintenanceWave(), new ZoneEvacuation(), new KeyWithdrawal(), new ForeignEntries(), new ShrinkingCapacity()
    ]
  }
}
