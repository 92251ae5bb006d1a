/**
 * Latency and load while endpoints fail.
 */
import { Agent, request } from 'undici'
import type { AttemptFailure } from '../src/endpoints/attempt-failure.js'
import { RandomChooser } from '../src/endpoints/random-chooser.js'
import { RetryPolicy } from '../src/entry/retry-policy.js'
import type { EntryPolicies } from '../src/main/entry-policies.js'
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { WireFleet } from '../tests/support/wire-fleet.js'
import { Benchmark } from './benchmark.js'
import { LatencyRecorder } from './latency-recorder.js'
import type { ResultRow } from './result-row.js'

/** Endpoints, of which one is slow and one dead in the first part, and all fail in the second. */
const ENDPOINTS = 6

/** Requests in each part and at once. */
const REQUESTS = 1_500
const WORKERS = 12

/** How much slower the slow endpoint is, in milliseconds. */
const SLOW_MILLISECONDS = 300

/** Three more attempts whenever one fails. */
class AlwaysRetryPolicy extends RetryPolicy {
  override recordFirstAttempt (): void {}

  override mayRetry (_failure: AttemptFailure, attempts: number): boolean {
    return attempts < 4
  }

  override backoffDeadline (): number {
    return 0
  }
}

/** One entry process over loopback, with the system's policies and with naive ones. */
export class FailuresBenchmark extends Benchmark {
  override readonly name = 'failures'
  override readonly summary = 'one slow and one dead endpoint of six; then all answers lost. naive: random endpoint, always three retries'

  override async run (): Promise<ResultRow[]> {
    const ours = await this._measure({})
    const naive = await this._measure({ chooser: new RandomChooser(new SeededRandomSource(3)), retries: new AlwaysRetryPolicy() })
    return [
      { figure: 'one slow, one dead: latency, percentile 50 (ms)', value: ours.median, naive: naive.median, target: '' },
      { figure: 'one slow, one dead: latency, percentile 99 (ms)', value: ours.percentile99, naive: naive.percentile99, target: '' },
      { figure: 'one slow, one dead: not answered (%)', value: ours.failed, naive: naive.failed, target: '' },
      { figure: 'all answers lost: attempts for each request', value: ours.amplification, naive: naive.amplification, target: 'at most 1.2' }
    ]
  }

  private async _measure (policies: EntryPolicies): Promise<{ median: number, percentile99: number, failed: number, amplification: number }> {
    const fleet = new WireFleet()
    await fleet.start()
    for (let index = 0; index < ENDPOINTS; index++) await fleet.addEndpoint(`a-${index}`, 'work', 10)
    await fleet.addProcess('control', 'a')
    const entry = await fleet.addProcess('entry', 'a', { policies })
    await fleet.until(() => entry.tree.keeper.state.members.size === 2, 'both joined')
    const key = await fleet.deploy('work', 'team', 100)
    const [slow, dead] = [...fleet.endpoints.values()]
    if (slow) slow.faults = { ...slow.faults, slowMilliseconds: SLOW_MILLISECONDS }
    if (dead) dead.faults = { ...dead.faults, isDown: true }
    const recorder = new LatencyRecorder()
    const failed = await this._send(entry.address.port, key, recorder)
    if (slow) slow.faults = { ...slow.faults, slowMilliseconds: 0 }
    if (dead) dead.faults = { ...dead.faults, isDown: false }
    for (const endpoint of fleet.endpoints.values()) endpoint.faults = { ...endpoint.faults, lostAnswerPart: 1 }
    const before = this._attempts(fleet)
    await this._send(entry.address.port, key, new LatencyRecorder())
    const amplification = (this._attempts(fleet) - before) / REQUESTS
    await fleet.close()
    return { median: recorder.percentile(50), percentile99: recorder.percentile(99), failed: 100 * failed / REQUESTS, amplification }
  }

  private _attempts (fleet: WireFleet): number {
    return [...fleet.endpoints.values()].reduce((sum, endpoint) => sum + endpoint.ledger.length, 0)
  }

  private async _send (port: number, key: string, recorder: LatencyRecorder): Promise<number> {
    const agent = new Agent()
    let failed = 0
    await Promise.all(Array.from({ length: WORKERS }, async () => {
      for (let index = 0; index < REQUESTS / WORKERS; index++) {
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
