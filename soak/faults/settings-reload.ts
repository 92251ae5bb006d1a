/**
 * Planned change: all processes reload their settings.
 */
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Sends SIGHUP to every process. */
export class SettingsReload extends SoakFault {
  override readonly name = 'settings reloaded'
  override readonly isPlanned = true

  override async begin ({ nodes }: SoakFleet): ReturnType<SoakFault['begin']> {
    for (const node of nodes) node.signal('SIGHUP')
    return () => {}
  }
}
