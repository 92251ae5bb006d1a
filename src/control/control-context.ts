/**
 * Dependencies shared by the tasks and routes of a control process.
 */
import type { Metrics } from '../observability/metrics.js'
import type { Holder } from '../schemas/holder.js'
import type { CommandSubmitter } from '../state/command-submitter.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import type { IdentifierSource } from '../supervision/identifier-source.js'
import type { RandomSource } from '../supervision/random-source.js'

/** The state, the way to change it, and the sources of time, identifiers and randomness. */
export interface ControlContext {
  /** This process. */
  readonly self: Holder
  readonly keeper: StateKeeper
  readonly submitter: CommandSubmitter
  readonly identifiers: IdentifierSource
  readonly clock: Clock
  readonly random: RandomSource
  readonly metrics: Metrics
}
