/**
 * Plans of series in which lasting tasks are moved about while owners and workers fail.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import type { Disturbance } from '../lease-series/disturbance.js'

/** Which worker of a fleet is meant: a number, taken modulo the number of its candidates. */
type WorkerNumber = number

/** What happens in a series; times are milliseconds from its start. */
export interface AvailabilityPlan {
  readonly seed: number
  readonly processes: readonly string[]
  readonly workers: readonly { readonly pool: string, readonly rack: string, readonly clockRate: number }[]
  readonly standbyMachines: number
  readonly maximumLeaseMilliseconds: number
  /** Times that a worker takes to start and to stop a run. */
  readonly warmUpMilliseconds: number
  readonly stopMilliseconds: number
  /** Lasting jobs of one step each. */
  readonly lastingJobs: readonly { readonly at: number, readonly tasks: number, readonly budget: number, readonly cancelledAt: number }[]
  /** Jobs that make pools grow and shrink. */
  readonly shortJobs: readonly { readonly at: number, readonly pool: string, readonly tasks: number, readonly runMilliseconds: number }[]
  readonly waves: readonly { readonly at: number, readonly share: number, readonly maximumAtOnce: number }[]
  readonly owners: readonly { readonly kind: Disturbance<string>, readonly at: number, readonly until: number }[]
  /** Processes that are held up, whichever they are. */
  readonly stalls: readonly { readonly process: number, readonly at: number, readonly milliseconds: number }[]
  /** Periods in which workers are slow, or their responses don't reach the owner. */
  readonly hiccups: readonly { readonly at: number, readonly milliseconds: number, readonly latencyMilliseconds: number }[]
  readonly outages: readonly { readonly kind: Disturbance<readonly EmulatedWorker[]>, readonly at: number, readonly until: number, readonly workers: readonly WorkerNumber[] }[]
  /** Runs of lasting tasks that fail by themselves. */
  readonly failures: readonly { readonly at: number, readonly worker: WorkerNumber }[]
}
