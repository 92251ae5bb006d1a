/**
 * The daemon of the data path.
 */
import { EntrySettings } from '../settings/entry-settings.js'
import type { Supervisor } from '../supervision/supervisor.js'
import { Daemon } from './daemon.js'
import type { ProcessTree } from './process-tree.js'

/** `samphireglade-entry`. */
export class EntryDaemon extends Daemon<EntrySettings> {
  protected override readonly program = 'samphireglade-entry'
  protected override readonly schema = EntrySettings

  protected override build (tree: ProcessTree, settings: EntrySettings): Supervisor {
    return tree.buildEntry(settings)
  }
}
