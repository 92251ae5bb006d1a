/**
 * Requests to the advice service, with a cache of the tickets that it issues.
 */
import type { JobQueue } from '../configuration/job-queue.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import { Task } from '../supervision/task.js'
import type { Advisor } from './advisor.js'
import type { AdvisorError } from './advisor-error.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { ScheduledStep } from '../scheduling/scheduled-step.js'

/** Keeps the duration of one call within a step's target completion time. */
const MAXIMUM_WORKERS_PER_CALL = 30

/** Added to twice the service's expected processing time to form a call's deadline. */
const RESPONSE_MARGIN_MILLISECONDS = 1_000

const RETRY_DELAY_MILLISECONDS = 300

/** Validity that a ticket must have left to be used: the placement is written to the journal before the start order is sent. */
const TICKET_VALIDITY_MARGIN_MILLISECONDS = 300

/** Advice received for one step. */
interface StepAdvice {
  /** Tickets by worker ID and incarnation, with their expiry in epoch milliseconds. */
  readonly tickets: Map<string, { readonly ticket: string, readonly expiresAt: number }>
  /** Workers, by ID and incarnation, that may not run the step. */
  readonly refusedWorkers: Set<string>
}

/** A call that waits to be made. */
interface AdviceRequest {
  readonly step: ScheduledStep
  readonly workers: readonly FleetWorker[]
  readonly queue: JobQueue
}

/** Makes one call at a time, those for lasting tasks first, as placement does. While a call for a step is pending, further requests for that step are ignored. */
export class AdviceTask extends Task {
  override readonly name = 'advice'
  private readonly _wake = new Notifier()
  private readonly _adviceByStep = new WeakMap<ScheduledStep, StepAdvice>()
  private readonly _pendingRequests = new Map<ScheduledStep, AdviceRequest>()

  /**
   * @param _advisor null if no advice service is configured: steps that need advice then keep waiting.
   * @param _onAdviceChanged called after each call, because tasks may have become placeable.
   */
  constructor (private readonly _advisor: Advisor | null, private readonly _onAdviceChanged: () => void, private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog) {
    super()
  }

  /** Returns the step's ticket for the worker, or null if there is no valid one. */
  ticket (step: ScheduledStep, worker: FleetWorker): string | null {
    const cached = this._adviceByStep.get(step)?.tickets.get(this._workerKey(worker))
    return cached && cached.expiresAt > this._clock.now() + TICKET_VALIDITY_MARGIN_MILLISECONDS ? cached.ticket : null
  }

  /** Removes a ticket that the worker refused, so that it is not used again. */
  discardTicket (step: ScheduledStep, worker: FleetWorker): void {
    this._adviceByStep.get(step)?.tickets.delete(this._workerKey(worker))
  }

  /** Requests advice for the workers without a valid ticket that were not refused before, those with the most free processors first. */
  requestAdvice (step: ScheduledStep, queue: JobQueue, workers: readonly FleetWorker[]): void {
    if (this._pendingRequests.has(step)) return
    const stepAdvice = this._adviceByStep.get(step)
    const candidates = workers.filter(worker => !stepAdvice?.refusedWorkers.has(this._workerKey(worker)) && this.ticket(step, worker) === null)
    if (candidates.length === 0) return
    candidates.sort((left, right) => right.available.millicores - left.available.millicores)
    this._pendingRequests.set(step, { step, queue, workers: candidates.slice(0, MAXIMUM_WORKERS_PER_CALL) })
    this._wake.notify()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const request = this._nextRequest()
      if (!request || !this._advisor) {
        await this._wake.wait(this._clock, Infinity, signal)
        continue
      }
      if (!request.step.job.isFinished) await this._call(this._advisor, request, signal)
      this._pendingRequests.delete(request.step)
      this._onAdviceChanged()
    }
  }

  /** Returns the request that has waited longest, of steps with lasting tasks first; undefined if there is none. */
  private _nextRequest (): AdviceRequest | undefined {
    const requests = [...this._pendingRequests.values()]
    return requests.find(({ step }) => step.definition.isLasting) ?? requests[0]
  }

  private async _call (advisor: Advisor, { step, workers, queue }: AdviceRequest, signal: AbortSignal): Promise<void> {
    const adviceTiming = queue.advice
    const requestedAt = this._clock.now()
    const expectedMilliseconds = (adviceTiming?.perCallMilliseconds ?? 0) + (adviceTiming?.perWorkerMilliseconds ?? 0) * workers.length
    const response = await advisor.advise(step.name, workers.map(({ entry }) => entry.id), requestedAt + 2 * expectedMilliseconds + RESPONSE_MARGIN_MILLISECONDS, signal)
    this._metrics.timing('advice.milliseconds', this._clock.now() - requestedAt)
    if (response.isLeft()) {
      const error = response.extract() as AdvisorError
      this._log.emit('advice failed', { step: step.name, workers: workers.length, cause: error.kind, detail: error.message })
      await this._clock.sleepUntil(this._clock.now() + RETRY_DELAY_MILLISECONDS, signal).catch(() => {})
      return
    }
    const tickets = new Map(response.unsafeCoerce().map(({ worker, ticket }) => [worker, ticket]))
    const stepAdvice = this._adviceByStep.get(step) ?? { tickets: new Map(), refusedWorkers: new Set() }
    this._adviceByStep.set(step, stepAdvice)
    for (const worker of workers) {
      const ticket = tickets.get(worker.entry.id)
      if (ticket === undefined) stepAdvice.refusedWorkers.add(this._workerKey(worker))
      else stepAdvice.tickets.set(this._workerKey(worker), { ticket, expiresAt: requestedAt + (adviceTiming?.ticketValidityMilliseconds ?? 0) })
    }
    this._log.emit('advice received', { step: step.name, workers: workers.length, good: tickets.size, milliseconds: Math.round(this._clock.now() - requestedAt) })
  }

  private _workerKey ({ entry }: FleetWorker): string {
    return `${entry.id} ${entry.incarnation}`
  }
}
