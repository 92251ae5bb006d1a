/**
 * Callers of the demo. They send requests, check the responses and record the result of each request.
 */
import { randomUUID } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { Problem } from '../src/schemas/problem.js'

/** A request with its result. */
interface SentRequest {
  /** Label of the request in the endpoints' ledgers. */
  readonly mark: string
  /** Whether the request is a posting, which must not run twice, and carries an idempotency key. */
  readonly isPosting: boolean
  /** Outcome in the problem document if there is one; `wrong`: unexpected response body, `broken`: no valid response. */
  readonly result: 'answered' | 'not-run' | 'ran' | 'unknown' | 'broken' | 'wrong'
  readonly reason: string
}

/** A caller with a key of its team. */
interface Caller {
  readonly team: string
  readonly key: string
}

/** Sends requests of several teams to all entry daemons in turn, until it is stopped. */
export class DemoTraffic {
  readonly sentRequests: SentRequest[] = []
  private readonly _agent = new Agent({ keepAliveTimeout: 10_000 })
  private _isStopped = false
  private _ports: readonly number[]

  /** @param ports of the entry daemons. */
  constructor (ports: readonly number[]) {
    this._ports = ports
  }

  /** Sets the ports that get requests from now on, as a load balancer does that removes a daemon which isn't ready. */
  setPorts (ports: readonly number[]): void {
    this._ports = ports
  }

  /** Sends requests until `stop`, with a maximum number in flight from each caller. */
  async run (callers: readonly Caller[], concurrencyPerCaller: number): Promise<void> {
    await Promise.all(callers.flatMap(caller => Array.from({ length: concurrencyPerCaller }, (_, index) => this._sendRequests(caller, index))))
  }

  /** Makes `run` return once all requests in flight have completed. */
  stop (): void {
    this._isStopped = true
  }

  /** Sends one request after another; `firstCount` selects the first port and the kind of the first request. */
  private async _sendRequests (caller: Caller, firstCount: number): Promise<void> {
    for (let count = firstCount; !this._isStopped; count++) {
      const isPosting = count % 2 === 0
      const port = this._ports[count % this._ports.length] ?? 0
      this.sentRequests.push(await this._send(caller, port, isPosting))
      await delay(5)
    }
  }

  private async _send (caller: Caller, port: number, isPosting: boolean): Promise<SentRequest> {
    const mark = randomUUID()
    const body = JSON.stringify({ mark })
    try {
      const response = await request(`http://127.0.0.1:${port}/queues/${isPosting ? 'postings/entries' : 'balances/check'}`, {
        method: isPosting ? 'POST' : 'PUT',
        dispatcher: this._agent,
        headers: {
          authorization: `Bearer ${caller.key}`,
          'content-type': 'application/json',
          'x-mark': mark,
          ...(isPosting ? { 'idempotency-key': mark } : {})
        },
        body
      })
      const text = await response.body.text()
      if (response.statusCode === 200) {
        return { mark, isPosting, result: text === body ? 'answered' : 'wrong', reason: '' }
      }
      const problem = Problem.parse(JSON.parse(text))
      return { mark, isPosting, result: problem.outcome, reason: problem.type }
    } catch (error) {
      return { mark, isPosting, result: 'broken', reason: (error as Error).message }
    }
  }
}
