/**
 * Benchmark of latency and number of attempts while endpoints fail.
 */
import { Agent, request } from 'undici'
import type { AttemptFailure } from '../src/endpoints/attempt-failure.js'
import { RandomChooser } from '../src/endpoints/random-chooser.js'
import { RetryPolicy } from '../src/entry/retry-policy.js'
import type { EntryPolicies } from '../src/main/entry-policies.js'
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { LoopbackFleet } from '../tests/support/loopback-fleet.js'
import { Benchmark } from './benchmark.js'
import { LatencyRecorder } from './latency-recorder.js'
import type { ResultRow } from './result-row.js'

/** Number of endpoints. In the first part one is slow and one is down; in the second all lose their responses. */
const ENDPOINTS = 6

/** Number of requests in each part. */
const REQUESTS = 1_500

/** Number of requests in flight. */
const CONCURRENCY = 12

/** Extra processing time at the slow endpoint. */
const SLOW_ENDPOINT_DELAY_MILLISECONDS = 300

/** Retries every failed request without a delay, up to three times. */
class AlwaysRetryPolicy extends RetryPolicy {
  override recordFirstAttempt (): void {}

  override mayRetry (_failure: AttemptFailure, attempts: number): boolean {
    return attempts < 4
  }

  override backoffDeadline (): number {
    return 0
  }
}

/** Sends requests through one entry process over loopback, with the system's policies and with naive ones. */
export class FailuresBenchmark extends Benchmark {
  override readonly name = 'failures'
  override readonly summary = 'one slow and one dead endpoint of six; then all responses lost. naive: random endpoint, always three retries'

  override async run (): Promise<ResultRow[]> {
    const system = await this._measure({})
    const naive = await this._measure({ chooser: new RandomChooser(new SeededRandomSource(3)), retries: new AlwaysRetryPolicy() })
    return [
      { figure: 'one slow, one dead: latency, percentile 50 (ms)', value: system.median, naive: naive.median, target: '' },
      { figure: 'one slow, one dead: latency, percentile 99 (ms)', value: system.percentile99, naive: naive.percentile99, target: '' },
      { figure: 'one slow, one dead: not answered (%)', value: system.failedPercentage, naive: naive.failedPercentage, target: '' },
      { figure: 'all answers lost: attempts for each request', value: system.attemptsPerRequest, naive: naive.attemptsPerRequest, target: 'at most 1.2' }
    ]
  }

  private async _measure (policies: EntryPolicies): Promise<{ median: number, percentile99: number, failedPercentage: number, attemptsPerRequest: number }> {
    const fleet = new LoopbackFleet()
    await fleet.start()
    for (let index = 0; index < ENDPOINTS; index++) await fleet.addEndpoint(`a-${index}`, 'work', 10)
    await fleet.addProcess('control', 'a')
    const entry = await fleet.addProcess('entry', 'a', { policies })
    await fleet.waitUntil(() => entry.tree.keeper.state.members.size === 2, 'both joined')
    const key = await fleet.deploy('work', 'team', 100)
    const [slow, dead] = [...fleet.endpoints.values()]
    if (slow) slow.faults = { ...slow.faults, slowMilliseconds: SLOW_ENDPOINT_DELAY_MILLISECONDS }
    if (dead) dead.faults = { ...dead.faults, isDown: true }
    const recorder = new LatencyRecorder()
    const failedRequests = await this._sendRequests(entry.address.port, key, recorder)
    if (slow) slow.faults = { ...slow.faults, slowMilliseconds: 0 }
    if (dead) dead.faults = { ...dead.faults, isDown: false }
    for (const endpoint of fleet.endpoints.values()) endpoint.faults = { ...endpoint.faults, lostAnswerPart: 1 }
    const attemptsBefore = this._countAttempts(fleet)
    await this._sendRequests(entry.address.port, key, new LatencyRecorder())
    const attemptsPerRequest = (this._countAttempts(fleet) - attemptsBefore) / REQUESTS
    await fleet.close()
    return { median: recorder.percentile(50), percentile99: recorder.percentile(99), failedPercentage: 100 * failedRequests / REQUESTS, attemptsPerRequest }
  }

  private _countAttempts (fleet: LoopbackFleet): number {
    return [...fleet.endpoints.values()].reduce((sum, endpoint) => sum + endpoint.ledger.length, 0)
  }

  private async _sendRequests (port: number, key: string, recorder: LatencyRecorder): Promise<number> {
    const agent = new Agent()
    let failed = 0
    await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
      for (let index = 0; index < REQUESTS / CONCURRENCY; index++) {
        await recorder.time(async () => {
          const { statusCode, body } = await request(`http://127.0.0.1:${port}/queues/work/x`, {
            method: 'PUT', headers: { authorization: `Bearer ${key}`, 'samphireglade-deadline': String(Date.now() + 3_000) }, body: 'x', dispatcher: agent
          })
          await body.dump()
          if (statusCode !== 200) failed += 1
        })
      }
    }))
    await agent.close()
    return failed
  }
}
