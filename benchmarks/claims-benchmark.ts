/**
 * Benchmark of idempotency key claims and the log appends that they need.
 */
import { ClaimTask } from '../src/entry/claim-task.js'
import { MemoryMetrics } from '../src/observability/memory-metrics.js'
import { CommandSubmitter } from '../src/state/command-submitter.js'
import { LogFollowerTask } from '../src/state/log-follower-task.js'
import { LogWriterTask } from '../src/state/log-writer-task.js'
import { StateKeeper } from '../src/state/state-keeper.js'
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { FakeClock } from '../tests/support/fake-clock.js'
import { FakePlatformLog } from '../tests/support/fake-platform-log.js'
import { SequentialIdentifierSource } from '../tests/support/sequential-identifier-source.js'
import { Benchmark } from './benchmark.js'
import type { ResultRow } from './result-row.js'

/** Number of entry processes, among which the append rate limit of the fleet is divided. */
const ENTRY_PROCESSES = 8

/** Claims per second of all entry processes together. */
const CLAIMS_PER_SECOND = [400, 2_000, 4_000]

/** Simulated latency of an append to the log. */
const APPEND_LATENCY_MILLISECONDS = 10

/** Simulated time during which claims are made. */
const SIMULATED_SECONDS = 5

/** Simulates entry processes that claim keys on one log at a constant rate. */
export class ClaimsBenchmark extends Benchmark {
  override readonly name = 'claims'
  override readonly summary = 'claims of idempotency keys on 8 entry VMs; naive: one append for each claim'

  override async run (): Promise<ResultRow[]> {
    const rows: ResultRow[] = []
    for (const rate of CLAIMS_PER_SECOND) rows.push(...await this._measure(rate))
    return rows
  }

  private async _measure (rate: number): Promise<ResultRow[]> {
    const clock = new FakeClock()
    const log = new FakePlatformLog(clock)
    log.latencyMilliseconds = APPEND_LATENCY_MILLISECONDS
    log.write(Array.from({ length: ENTRY_PROCESSES }, (_, index) => ({
      id: `join-${index}`,
      author: { member: 'operator', incarnation: '1' },
      time: clock.now(),
      body: { kind: 'join-member', value: { id: `entry-${index}`, incarnation: '1', role: 'entry', availabilityZone: 'a', address: { host: '127.0.0.1', port: 1 }, host: `vm-${index}`, joinedAt: clock.now() } }
    })))
    const claimTasks = Array.from({ length: ENTRY_PROCESSES }, (_, index) => this._startEntry(`entry-${index}`, clock, log))
    await clock.advance(1_000)
    const appendsBefore = log.appends
    let wonClaims = 0
    let totalWaitMilliseconds = 0
    const totalClaims = rate * SIMULATED_SECONDS
    for (let index = 0; index < totalClaims; index++) {
      const key = index.toString(16).padStart(64, '0')
      const startedAt = clock.now()
      void claimTasks[index % ENTRY_PROCESSES]?.claim(key, key, `request-${index}`, startedAt + 10_000).then(result => {
        if (result.kind !== 'won') return
        wonClaims += 1
        totalWaitMilliseconds += clock.now() - startedAt
      })
      if (index % (rate / 200) === 0) await clock.advance(5)
    }
    await clock.advance(100)
    const appendsPerSecond = (log.appends - appendsBefore) / SIMULATED_SECONDS
    return [
      { figure: `${rate} offered a second: won (1/s)`, value: wonClaims / SIMULATED_SECONDS, naive: Math.min(rate, 300), target: '' },
      { figure: `${rate} offered a second: appends (1/s)`, value: appendsPerSecond, naive: rate, target: '300/s in all' },
      { figure: `${rate} offered a second: claims at 100 appends (1/s)`, value: 100 * wonClaims / SIMULATED_SECONDS / appendsPerSecond, naive: 100, target: '' },
      { figure: `${rate} offered a second: mean wait (ms)`, value: totalWaitMilliseconds / Math.max(1, wonClaims), naive: null, target: '' }
    ]
  }

  private _startEntry (name: string, clock: FakeClock, log: FakePlatformLog): ClaimTask {
    const metrics = new MemoryMetrics()
    const random = new SeededRandomSource(name.charCodeAt(name.length - 1))
    const keeper = new StateKeeper(clock, metrics)
    const writer = new LogWriterTask(log, keeper, clock, random, metrics)
    const holder = { member: name, incarnation: '1' }
    const claimTask = new ClaimTask(holder, keeper, new CommandSubmitter(holder, writer, keeper, clock), new SequentialIdentifierSource(name), clock, metrics)
    const neverAborted = new AbortController().signal
    void new LogFollowerTask(log, keeper, clock, random, metrics).run(neverAborted)
    void writer.run(neverAborted)
    void claimTask.run(neverAborted)
    return claimTask
  }
}
