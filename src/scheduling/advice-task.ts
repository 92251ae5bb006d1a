/**
 * Asks for advice on the steps that need it, and keeps the tickets.
 */
import type { JobQueue } from '../configuration/job-queue.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import { Task } from '../supervision/task.js'
import type { Advisor } from './advisor.js'
import type { AdvisorError } from './advisor-error.js'
import type { FleetWorker } from './fleet-worker.js'
import type { ScheduledStep } from './scheduled-step.js'

/** Most workers named in one call: what a step's objective allows for. */
const WORKERS_A_CALL = 30

/** Time on top of the service's own after which a call is given up, in milliseconds. */
const ANSWER_ALLOWANCE_MILLISECONDS = 1_000

/** Pause after a call that failed, in milliseconds. */
const FAILURE_PAUSE_MILLISECONDS = 300

/** Part of a ticket's life that must be left when it is used, in milliseconds: the decision is written before the start is sent. */
const TICKET_MARGIN_MILLISECONDS = 300

/** What is known of a step. */
interface Known {
  /** Tickets by worker and incarnation. */
  readonly tickets: Map<string, { readonly ticket: string, readonly until: number }>
  /** Workers that may not run it. */
  readonly refused: Set<string>
}

/** A question that waits. */
interface Question {
  readonly step: ScheduledStep
  readonly workers: readonly FleetWorker[]
  readonly queue: JobQueue
}

/** One call at a time; a step's newest question replaces its older one. */
export class AdviceTask extends Task {
  override readonly name = 'advice'
  private readonly _wake = new Notifier()
  private readonly _known = new WeakMap<ScheduledStep, Known>()
  private readonly _questions = new Map<ScheduledStep, Question>()

  /**
   * @param _advisor null where there is no such service: steps that need it wait.
   * @param _onAnswer called when something may be placed that could not before.
   */
  constructor (private readonly _advisor: Advisor | null, private readonly _onAnswer: () => void, private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog) {
    super()
  }

  /** The ticket of a step for a worker, or null if there is no valid one. */
  ticket (step: ScheduledStep, worker: FleetWorker): string | null {
    const found = this._known.get(step)?.tickets.get(this._key(worker))
    return found && found.until > this._clock.now() + TICKET_MARGIN_MILLISECONDS ? found.ticket : null
  }

  /** A worker refused a ticket: it isn't used again. */
  drop (step: ScheduledStep, worker: FleetWorker): void {
    this._known.get(step)?.tickets.delete(this._key(worker))
  }

  /** Asks about those of the workers that nothing is known of, most room first. */
  ask (step: ScheduledStep, queue: JobQueue, workers: readonly FleetWorker[]): void {
    if (this._questions.has(step)) return
    const known = this._known.get(step)
    const open = workers.filter(worker => !known?.refused.has(this._key(worker)) && this.ticket(step, worker) === null)
    if (open.length === 0) return
    open.sort((left, right) => right.free.millicores - left.free.millicores)
    this._questions.set(step, { step, queue, workers: open.slice(0, WORKERS_A_CALL) })
    this._wake.notify()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const [question] = this._questions.values()
      if (!question || !this._advisor) {
        await this._wake.wait(this._clock, Infinity, signal)
        continue
      }
      if (!question.step.job.isOver) await this._call(this._advisor, question, signal)
      this._questions.delete(question.step)
      this._onAnswer()
    }
  }

  private async _call (advisor: Advisor, { step, workers, queue }: Question, signal: AbortSignal): Promise<void> {
    const rule = queue.advice
    const askedAt = this._clock.now()
    const expected = (rule?.perCallMilliseconds ?? 0) + (rule?.perWorkerMilliseconds ?? 0) * workers.length
    const answer = await advisor.advise(step.name, workers.map(({ entry }) => entry.id), askedAt + 2 * expected + ANSWER_ALLOWANCE_MILLISECONDS, signal)
    this._metrics.timing('advice.milliseconds', this._clock.now() - askedAt)
    if (answer.isLeft()) {
      const error = answer.extract() as AdvisorError
      this._log.emit('advice failed', { step: step.name, workers: workers.length, cause: error.kind, detail: error.message })
      await this._clock.sleepUntil(this._clock.now() + FAILURE_PAUSE_MILLISECONDS, signal).catch(() => {})
      return
    }
    const tickets = new Map(answer.unsafeCoerce().map(({ worker, ticket }) => [worker, ticket]))
    const known = this._known.get(step) ?? { tickets: new Map(), refused: new Set() }
    this._known.set(step, known)
    for (const worker of workers) {
      const ticket = tickets.get(worker.entry.id)
      if (ticket === undefined) known.refused.add(this._key(worker))
      else known.tickets.set(this._key(worker), { ticket, until: askedAt + (rule?.ticketValidityMilliseconds ?? 0) })
    }
    this._log.emit('advice', { step: step.name, workers: workers.length, good: tickets.size, milliseconds: Math.round(this._clock.now() - askedAt) })
  }

  private _key ({ entry }: FleetWorker): string {
    return `${entry.id} ${entry.incarnation}`
  }
}
