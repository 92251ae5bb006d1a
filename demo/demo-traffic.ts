/**
 * Callers of the demo: they send, check every answer, and remember what became of each request.
 */
import { randomUUID } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { Problem } from '../src/schemas/problem.js'

/** What became of one request. */
interface Sent {
  readonly mark: string
  readonly isPosting: boolean
  readonly result: 'answered' | 'not-run' | 'ran' | 'unknown' | 'broken' | 'wrong'
  readonly reason: string
}

/** One team's caller. */
interface Caller {
  readonly team: string
  readonly key: string
}

/** Sends requests of several teams to all entry daemons in turn, until it is stopped. */
export class DemoTraffic {
  readonly sent: Sent[] = []
  private readonly _agent = new Agent({ keepAliveTimeout: 10_000 })
  private _isStopped = false
  private _ports: readonly number[]

  /** @param ports of the entry daemons. */
  constructor (ports: readonly number[]) {
    this._ports = ports
  }

  /** Leaves an entry daemon out, as the balancer does when it isn't ready. */
  use (ports: readonly number[]): void {
    this._ports = ports
  }

  /** Sends until stopped, as a number of workers for each caller. */
  async run (callers: readonly Caller[], workers: number): Promise<void> {
    await Promise.all(callers.flatMap(caller => Array.from({ length: workers }, (_, index) => this._work(caller, index))))
  }

  /** Ends `run` once what is under way has been answered. */
  stop (): void {
    this._isStopped = true
  }

  private async _work (caller: Caller, worker: number): Promise<void> {
    for (let count = worker; !this._isStopped; count++) {
      const isPosting = count % 2 === 0
      const port = this._ports[count % this._ports.length] ?? 0
      this.sent.push(await this._send(caller, port, isPosting))
      await delay(5)
    }
  }

  private async _send (caller: Caller, port: number, isPosting: boolean): Promise<Sent> {
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
