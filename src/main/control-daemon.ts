/**
 * The daemon for operators and planned work.
 */
import { ControlSettings } from '../settings/control-settings.js'
import type { Supervisor } from '../supervision/supervisor.js'
import { Daemon } from './daemon.js'
import type { ProcessTree } from './process-tree.js'

/** `samphireglade-control`. */
export class ControlDaemon extends Daemon<ControlSettings> {
  protected override readonly program = 'samphireglade-control'
  protected override readonly schema = ControlSettings

  protected override build (tree: ProcessTree, settings: ControlSettings): Supervisor {
    return tree.buildControl(settings)
  }
}
