/**
 * What every part of the control daemon works with.
 */
import type { Metrics } from '../observability/metrics.js'
import type { Holder } from '../schemas/holder.js'
import type { CommandSubmitter } from '../state/command-submitter.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import type { IdentifierSource } from '../supervision/identifier-source.js'
import type { RandomSource } from '../supervision/random-source.js'

/** State, the way to change it, and the usual sources of time, identity and chance. */
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
