/**
 * An endpoint in simulated time, with the interface that the dispatcher uses.
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

/** A request as the endpoint saw it. */
export interface ChaosRun {
  readonly requestId: string
  readonly mark: string
  readonly team: string | null
  readonly queuePool: string
  readonly endpointPool: string
  readonly startedAt: number
  endedAt: number
}

/** Faults of one endpoint. */
interface ChaosFaults {
  isDown: boolean
  losesAnswers: boolean
  truncates: boolean
  refuses: boolean
  slowMilliseconds: number
}

/** The endpoint itself; entry processes reach it through `link`. */
export class ChaosEndpoint {
  readonly runs: ChaosRun[] = []
  readonly faults: ChaosFaults = { isDown: false, losesAnswers: false, truncates: false, refuses: false, slowMilliseconds: 0 }
  /** Requests cut by planned reboots. */
  cutByReboot = 0
  private readonly _running = new Map<string, ChaosRun>()
  private _rebootsUntil = 0

  constructor (readonly id: string, readonly zone: string, public pool: string, private readonly _clock: FakeClock) {}

  get isRebooting (): boolean {
    return this._clock.now() < this._rebootsUntil
  }

  get running (): ChaosRun[] {
    return [...this._running.values()]
  }

  /** Reboots into a pool; whatever runs is cut. */
  reboot (pool: string, milliseconds: number): void {
    this.cutByReboot += this._running.size
    for (const run of this._running.values()) run.endedAt = this._clock.now()
    this._running.clear()
    this.pool = pool
    this._rebootsUntil = this._clock.now() + milliseconds
  }

  health (): Maybe<EndpointHealth> {
    if (this.faults.isDown || this.isRebooting) return Nothing
    return Just({ virtualMachine: this.id, pool: this.pool, bootId: 'boot', slots: 8, running: [...this._running.keys()] })
  }

  /** How one entry process reaches the endpoint. */
  link (isCut: () => boolean): ChaosLink {
    return new ChaosLink(this, isCut, this._clock)
  }

  /** Runs a request; the result is what reaches the sender. */
  async run (request: EndpointRequest): Promise<Either<AttemptFailure, EndpointResponse>> {
    const fail = (kind: AttemptFailure['kind']): Either<AttemptFailure, EndpointResponse> => Left(new AttemptFailure(kind, this.id, kind))
    if (this.faults.isDown || this.isRebooting) return fail('not-sent')
    const queuePool = String(request.headers[ENDPOINT_HEADERS.pool])
    if (this.faults.refuses || queuePool !== this.pool || this._running.size >= 8) return fail('refused')
    const run: ChaosRun = {
      requestId: request.requestId,
      mark: String(request.headers['x-mark']),
      team: request.headers[ENDPOINT_HEADERS.team] === undefined ? null : String(request.headers[ENDPOINT_HEADERS.team]),
      queuePool,
      endpointPool: this.pool,
      startedAt: this._clock.now(),
      endedAt: Infinity
    }
    this.runs.push(run)
    this._running.set(request.requestId, run)
    const work = Number(request.headers['x-work'] ?? 20) + this.faults.slowMilliseconds
    const deadline = Number(request.headers[ENDPOINT_HEADERS.deadline])
    await this._clock.sleepUntil(Math.min(this._clock.now() + work, deadline))
    const wasCut = run.endedAt !== Infinity
    if (!wasCut) run.endedAt = this._clock.now()
    if (this._running.get(request.requestId) === run) this._running.delete(request.requestId)
    if (wasCut || this.faults.losesAnswers || this._clock.now() >= deadline) return fail('lost')
    const body = Buffer.from(run.mark)
    const sent = this.faults.truncates ? Readable.from((function * () { yield body.subarray(0, 1); throw new Error('cut') })()) : Readable.from([body])
    return Right({ status: 200, headers: { 'content-length': String(body.length), 'content-type': 'text/plain' }, body: sent })
  }
}

/** One entry process's connection set to the endpoint; stands in for `EndpointSupervisor`. */
export class ChaosLink {
  inFlight = 0
  reportedRunning = 0
  latencyMilliseconds = 0
  isEjected = false
  isSuspected = false
  private _awaited = 0

  constructor (private readonly _endpoint: ChaosEndpoint, private readonly _isCut: () => boolean, private readonly _clock: FakeClock) {}

  get virtualMachine (): string {
    return this._endpoint.id
  }

  get isBusy (): boolean {
    return this.inFlight + this._awaited > 0
  }

  async exchange (request: EndpointRequest): Promise<Either<AttemptFailure, EndpointResponse>> {
    if (this._isCut()) return Left(new AttemptFailure('not-sent', this._endpoint.id, 'cut off'))
    this.inFlight += 1
    let giveUp = (): void => {}
    const given = new Promise<Either<AttemptFailure, EndpointResponse>>(resolve => {
      giveUp = () => resolve(Left(new AttemptFailure('aborted', this._endpoint.id, 'given up')))
      request.signal.addEventListener('abort', giveUp, { once: true })
    })
    let result = await Promise.race([this._endpoint.run(request), given])
    request.signal.removeEventListener('abort', giveUp)
    if (result.isRight() && this._isCut()) result = Left(new AttemptFailure('lost', this._endpoint.id, 'cut off'))
    if (result.isLeft()) this.inFlight -= 1
    return result
  }

  finish (): void {
    this.inFlight -= 1
  }

  async awaitCompletion (requestId: string, deadline: number): Promise<void> {
    this._awaited += 1
    while (this._clock.now() < deadline && (this._isCut() || this._endpoint.running.some(run => run.requestId === requestId))) {
      await this._clock.sleepUntil(Math.min(deadline, this._clock.now() + 500))
    }
    this._awaited -= 1
  }
}
