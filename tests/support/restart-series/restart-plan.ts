/**
 * The plan of a series of workers that start again under their IDs.
 */
import type { Disturbance } from '../lease-series/disturbance.js'

/** A loss of power, in milliseconds from the start of the series. */
interface PlannedLoss {
  readonly at: number
  /** Time after which the worker is back under its ID and address, and time after that at which it registers. */
  readonly darkMilliseconds: number
  readonly registrationMilliseconds: number
}

/** The losses of power of a worker, one after the other. */
interface PlannedOutage {
  /** Index of the worker. */
  readonly worker: number
  readonly losses: readonly PlannedLoss[]
  /** The cut that follows the first start which the worker accepts after its first loss: how long after, and for how long; null if there is none. */
  readonly cut: { readonly afterMilliseconds: number, readonly lastsMilliseconds: number } | null
}

/** A job of one step that is submitted, in milliseconds from the start of the series. */
interface PlannedJob {
  readonly at: number
  readonly rack: string
  readonly tasks: number
  readonly isLasting: boolean
  /** Duration of each run that ends by itself. */
  readonly runMilliseconds: number
  readonly process: number
}

/** What keeps an owner from its work, in milliseconds from the start of the series. */
interface PlannedOwnerChange {
  readonly kind: Disturbance<string>
  readonly at: number
  readonly until: number
}

/** Calls at the workers that lose power which get no response and are carried out late, in milliseconds from the start of the series. */
interface PlannedLateCalls {
  readonly at: number
  readonly until: number
  readonly lateMilliseconds: number
}

/** What only series of takeovers have. */
interface PlannedTakeovers {
  /** Time for which the processes have run before the series begins: longer than any call is late, or not. */
  readonly startMilliseconds: number
  readonly lateRenewals: PlannedLateCalls | null
  /** What happens to each next owner, and whether the workers that have lost power before are cut off then, and for how long. */
  readonly owners: readonly (PlannedOwnerChange & { readonly cutMilliseconds: number | null })[]
  /** A cut of the workers that have lost power before; null if there is none. */
  readonly cut: { readonly at: number, readonly lastsMilliseconds: number } | null
  /** Maintenance of VMs that no owner has ordered. */
  readonly orders: readonly { readonly worker: number, readonly at: number }[]
}

/** What happens in a series, all of it drawn before it is played. */
export interface RestartPlan {
  readonly seed: number
  readonly workers: readonly { readonly rack: string, readonly clockRate: number }[]
  readonly processes: readonly string[]
  readonly jobs: readonly PlannedJob[]
  readonly outages: readonly PlannedOutage[]
  /** Connections to silent workers: shares (of 100) of calls that open one, and of responses that are lost. */
  readonly connections: { readonly repeatMilliseconds: number, readonly timeoutMilliseconds: number, readonly opened: number, readonly lostResponses: number }
  readonly renewalMilliseconds: number
  readonly reportMilliseconds: number
  readonly lists: { readonly ageMilliseconds: number, readonly milliseconds: number }
  /** Null if the owner stays. */
  readonly owner: PlannedOwnerChange | null
  /** Null if no starts are late. */
  readonly lateStarts: PlannedLateCalls | null
  /** Null in series of other kinds. */
  readonly takeovers: PlannedTakeovers | null
}
