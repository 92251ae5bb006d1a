/**
 * The process in which an owner runs.
 */
import type { ProcessorLoad } from '../observability/processor-load.js'
import type { TermHolder } from '../ownership/term-holder.js'
import type { NodeSettings } from '../settings/node-settings.js'
import type { RandomSource } from '../supervision/random-source.js'
import type { SupervisorObserver } from '../supervision/supervisor-observer.js'

/** What an owner takes from its process: settings, name, load, randomness and the observer of its supervisors. */
export interface OwnerProcess {
  /** Returns the settings in force. */
  readonly settings: () => NodeSettings
  readonly holder: TermHolder
  readonly load: ProcessorLoad
  readonly random: RandomSource
  readonly supervisorObserver: SupervisorObserver
}
