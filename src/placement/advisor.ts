/**
 * Interface of the advice service, which decides which workers may run a step.
 */
import type { Either } from 'purify-ts/Either'
import type { AdvisorError } from './advisor-error.js'

/** A worker that may run the step, with the ticket that the start order has to carry. */
interface Advice {
  readonly worker: string
  readonly ticket: string
}

/** Client of the advice service. The service handles the calls of one process one after another. */
export abstract class Advisor {
  /** Returns the subset of `workers` that may run the step. That subset never changes for a given step. */
  abstract advise (step: string, workers: readonly string[], deadline: number, signal: AbortSignal): Promise<Either<AdvisorError, Advice[]>>
}
