/**
 * The deployment cms-panel on machines that stall, with planned changes and without other faults.
 */
import { MaintenanceWave } from '../faults/maintenance-wave.js'
import { PlannedRestart } from '../faults/planned-restart.js'
import { ProcessStalls } from '../faults/process-stalls.js'
import { SettingsReload } from '../faults/settings-reload.js'
import { ZoneEvacuation } from '../faults/zone-evacuation.js'
import type { SoakShape } from '../soak-shape.js'
import { PanelShape } from './panel-shape.js'

/** Stalls don't count as disturbances here, so that leases that expire because of them are findings. */
export class StallingPanelShape extends PanelShape {
  override createFaults (): ReturnType<SoakShape['createFaults']> {
    return [new ProcessStalls(true), new ProcessStalls(true), new ProcessStalls(true), new ProcessStalls(true), new PlannedRestart(), new SettingsReload(), new MaintenanceWave(), new ZoneEvacuation()]
  }
}
