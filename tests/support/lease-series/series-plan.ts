/**
 * The plan of a series of disturbances.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import type { Disturbance } from './disturbance.js'
import type { SeriesFleet } from './series-fleet.js'
import type { SilentWorkers } from './silent-workers.js'

/** When a disturbance begins and ends, in milliseconds from the start of the series; Infinity if it lasts. */
interface PlannedDisturbance<Subject> {
  readonly kind: Disturbance<Subject>
  readonly at: number
  readonly until: number
}

/** What happens in a series, all of it drawn before it is played. */
export interface SeriesPlan {
  readonly seed: number
  readonly silence: PlannedDisturbance<readonly EmulatedWorker[]>
  readonly silentWorkers: SilentWorkers
  readonly ownerEnd: PlannedDisturbance<string>
  /** Null if the store doesn't fail. */
  readonly store: PlannedDisturbance<null> | null
  /** What else happens. */
  readonly others: readonly PlannedDisturbance<null>[]
  /** The next owners, by turns: how long after its term has begun each is killed, and how long after that it is started again, in milliseconds. */
  readonly ownerKills: readonly { readonly killAfter: number, readonly restartAfter: number }[]
  readonly fleet: SeriesFleet
}
