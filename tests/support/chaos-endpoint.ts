/**
 * A simulated endpoint in simulated time, and the connections of an entry process to it.
 */
import { Readable } from 'node:stream'
import { Just, Nothing, type Maybe } from 'purify-ts/Maybe'
import { Left, Right, type Either } from 'purify-ts/Either'
import { AttemptFailure } from '../../src/endpoints/attempt-failure.js'
import type { EndpointResponse } from '../../src/endpoints/endpoint-response.js'
import { ENDPOINT_HEADERS } from '../../src/endpoints/endpoint-headers.js'
import type { EndpointRequest } from '../../src/endpoints/endpoint-request.js'
import type { EndpointHealth } from '../../src/schemas/endpoint-health.js'
import type { FakeClock } from './fake-clock.js'

/** A request that the endpoint accepted. */
export interface RequestExecution {
  readonly requestId: string
  readonly mark: string
  readonly team: string | null
  readonly queuePool: string
  readonly endpointPool: string
  readonly startedAt: number
  /** Infinity while the request is running. */
  endedAt: number
}

/** Faults that an endpoint applies. */
interface ChaosFaults {
  isDown: boolean
  /** Whether requests run without a response. */
  losesResponses: boolean
  /** Whether response bodies are cut off after their first byte. */
  truncatesResponses: boolean
  refusesRequests: boolean
  /** Extra processing time of every request, in milliseconds. */
  slowMilliseconds: number
}

/** A simulated endpoint. Each entry process sends requests to it over a `ChaosLink`. */
export class ChaosEndpoint {
  readonly executions: RequestExecution[] = []
  readonly faults: ChaosFaults = { isDown: false, losesResponses: false, truncatesResponses: false, refusesRequests: false, slowMilliseconds: 0 }
  /** Number of requests that planned reboots interrupted. */
  cutByReboot = 0
  private readonly _running = new Map<string, RequestExecution>()
  private _rebootDeadline = 0

  constructor (readonly id: string, readonly zone: string, public pool: string, private readonly _clock: FakeClock) {}

  get isRebooting (): boolean {
    return this._clock.now() < this._rebootDeadline
  }

  get running (): RequestExecution[] {
    return [...this._running.values()]
  }

  /** Reboots into a pool, which interrupts all running requests. */
  reboot (pool: string, milliseconds: number): void {
    this.cutByReboot += this._running.size
    for (const execution of this._running.values()) execution.endedAt = this._clock.now()
    this._running.clear()
    this.pool = pool
    this._rebootDeadline = this._clock.now() + milliseconds
  }

  health (): Maybe<EndpointHealth> {
    if (this.faults.isDown || this.isRebooting) return Nothing
    return Just({ virtualMachine: this.id, pool: this.pool, bootId: 'boot', slots: 8, running: [...this._running.keys()] })
  }

  /** Creates the connections of one entry process to the endpoint. */
  createLink (isPartitioned: () => boolean): ChaosLink {
    return new ChaosLink(this, isPartitioned, this._clock)
  }

  /** Executes a request and returns the response or failure that the sender sees. */
  async execute (request: EndpointRequest): Promise<Either<AttemptFailure, EndpointResponse>> {
    const fail = (kind: AttemptFailure['kind']): Either<AttemptFailure, EndpointResponse> => Left(new AttemptFailure(kind, this.id, kind))
    if (this.faults.isDown || this.isRebooting) return fail('not-sent')
    const queuePool = String(request.headers[ENDPOINT_HEADERS.pool])
    if (this.faults.refusesRequests || queuePool !== this.pool || this._running.size >= 8) return fail('refused')
    const execution: RequestExecution = {
      requestId: request.requestId,
      mark: String(request.headers['x-mark']),
      team: request.headers[ENDPOINT_HEADERS.team] === undefined ? null : String(request.headers[ENDPOINT_HEADERS.team]),
      queuePool,
      endpointPool: this.pool,
      startedAt: this._clock.now(),
      endedAt: Infinity
    }
    this.executions.push(execution)
    this._running.set(request.requestId, execution)
    const workMilliseconds = Number(request.headers['x-work'] ?? 20) + this.faults.slowMilliseconds
    const deadline = Number(request.headers[ENDPOINT_HEADERS.deadline])
    await this._clock.sleepUntil(Math.min(this._clock.now() + workMilliseconds, deadline))
    const wasInterrupted = execution.endedAt !== Infinity
    if (!wasInterrupted) execution.endedAt = this._clock.now()
    if (this._running.get(request.requestId) === execution) this._running.delete(request.requestId)
    if (wasInterrupted || this.faults.losesResponses || this._clock.now() >= deadline) return fail('lost')
    const body = Buffer.from(execution.mark)
    const responseBody = this.faults.truncatesResponses ? Readable.from((function * () { yield body.subarray(0, 1); throw new Error('response truncated') })()) : Readable.from([body])
    return Right({ status: 200, headers: { 'content-length': String(body.length), 'content-type': 'text/plain' }, body: responseBody })
  }
}

/** The connections of one entry process to the endpoint. Stands in for `EndpointSupervisor` and has the members of it that an entry process uses. */
export class ChaosLink {
  inFlight = 0
  reportedRunning = 0
  latencyMilliseconds = 0
  isEjected = false
  isSuspected = false
  private _awaitedCompletions = 0

  constructor (private readonly _endpoint: ChaosEndpoint, private readonly _isPartitioned: () => boolean, private readonly _clock: FakeClock) {}

  get virtualMachine (): string {
    return this._endpoint.id
  }

  get isBusy (): boolean {
    return this.inFlight + this._awaitedCompletions > 0
  }

  async exchange (request: EndpointRequest): Promise<Either<AttemptFailure, EndpointResponse>> {
    if (this._isPartitioned()) return Left(new AttemptFailure('not-sent', this._endpoint.id, 'network partition'))
    this.inFlight += 1
    let abort = (): void => {}
    const aborted = new Promise<Either<AttemptFailure, EndpointResponse>>(resolve => {
      abort = () => resolve(Left(new AttemptFailure('aborted', this._endpoint.id, 'aborted by the sender')))
      request.signal.addEventListener('abort', abort, { once: true })
    })
    let result = await Promise.race([this._endpoint.execute(request), aborted])
    request.signal.removeEventListener('abort', abort)
    if (result.isRight() && this._isPartitioned()) result = Left(new AttemptFailure('lost', this._endpoint.id, 'network partition'))
    if (result.isLeft()) this.inFlight -= 1
    return result
  }

  finish (): void {
    this.inFlight -= 1
  }

  async awaitCompletion (requestId: string, deadline: number): Promise<void> {
    this._awaitedCompletions += 1
    while (this._clock.now() < deadline && (this._isPartitioned() || this._endpoint.running.some(execution => execution.requestId === requestId))) {
      await this._clock.sleepUntil(Math.min(deadline, this._clock.now() + 500))
    }
    this._awaitedCompletions -= 1
  }
}
