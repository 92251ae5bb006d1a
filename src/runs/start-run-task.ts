/**
 * Start order for one run.
 */
import { context, SpanStatusCode, trace } from '@opentelemetry/api'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import { NEVER_ABORTED } from '../supervision/never-aborted.js'
import { Task } from '../supervision/task.js'
import type { AdviceTask } from '../placement/advice-task.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import { keepsUnconfirmedRun } from '../scheduling/keeps-unconfirmed-run.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { OwnerPace } from '../scheduling/owner-pace.js'
import type { RunOrderDispatcher } from '../runs/run-order-dispatcher.js'
import type { StartOutcomeHandler } from '../runs/start-outcome-handler.js'
import type { WorkerError } from '../workers/worker-error.js'

/**
 * Sends the start order once. If there is no response, the worker's fencing token is raised, so that the run cannot start late, and the run is stopped, unless its task lasts: a report with
 * that token shows whether it has begun. Shutdown of the owner does not abort the order: an aborted start would waste the run if the worker had accepted it.
 */
export class StartRunTask extends Task {
  override readonly name = 'start-run'

  /** @param _onFenced called when the worker has seen a higher fencing token. */
  constructor (
    private readonly _task: ScheduledTask, private readonly _worker: FleetWorker, private readonly _advice: AdviceTask,
    private readonly _outcomes: StartOutcomeHandler, private readonly _dispatcher: RunOrderDispatcher, private readonly _pace: OwnerPace, private readonly _onFenced: (cause: string) => void,
    private readonly _clock: Clock, private readonly _metrics: Metrics
  ) {
    super()
  }

  override get isStoppable (): boolean {
    return false
  }

  override async run (): Promise<void> {
    const { _task: task, _worker: worker } = this
    const { run, name } = task
    const { client } = worker
    const order = { task: name, run, specification: task.step.job.view.submission.specification, checkpoint: task.checkpoint, ticket: this._advice.ticket(task.step, worker) ?? '' }
    const span = trace.getTracer('samphireglade').startSpan('start run', { attributes: { task: name, run, worker: worker.entry.id } }, context.active())
    const sentAt = this._clock.now()
    const token = client?.fence.token ?? 0
    const deadline = sentAt + this._pace.responseMilliseconds
    task.startToken = token
    task.startCallEndsAt = deadline
    const response = client ? await client.start(order, worker.leaseDeadline, deadline, NEVER_ABORTED) : null
    this._metrics.timing('runs.start.milliseconds', this._clock.now() - sentAt)
    if (response?.isLeft()) span.setStatus({ code: SpanStatusCode.ERROR })
    span.end()
    if (response?.isRight()) {
      this._outcomes.startAccepted(task, worker, run, sentAt, response.unsafeCoerce())
      return
    }
    const error = response ? response.extract() as WorkerError : null
    if (error?.kind === 'fenced') {
      this._onFenced(`worker ${worker.entry.id}: ${error.message}`)
    } else if (error && error.kind !== 'unknown') {
      if (error.kind === 'ticket') this._advice.discardTicket(task.step, worker)
      this._outcomes.startRefused(task, worker, run, error)
    } else {
      client?.fence.raiseAbove(token)
      this._outcomes.startUnconfirmed(task, worker, run, sentAt, token)
      if (task.run !== run || task.worker !== worker || !keepsUnconfirmedRun(task)) this._dispatcher.stop(worker, name, run)
    }
  }
}
