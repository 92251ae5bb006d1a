/**
 * Base class of the deployments that the soak test runs.
 */
import type { FaultSchedule } from './fault-schedule.js'
import type { JobMix } from './job-mix.js'
import type { SoakFault } from './soak-fault.js'

/** A deployment with its jobs and faults; subclasses define its size and what happens on it. */
export abstract class SoakShape {
  /** Numbers of processes, workers and callers unless the command line gives others. */
  abstract readonly sizes: { readonly processes: number, readonly workers: number, readonly callers: number }
  /** Longest lease that workers grant, in milliseconds. */
  abstract readonly maximumLeaseMilliseconds: number
  abstract readonly jobs: JobMix
  abstract readonly schedule: FaultSchedule

  /** Creates the faults to choose from; a fault that is listed twice is chosen twice as often. */
  abstract createFaults (): readonly SoakFault[]
}
