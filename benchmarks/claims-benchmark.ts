/**
 * Claims of idempotency keys for each append.
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

/** Entry processes; each has its part of the fleet's appends. */
const ENTRIES = 8

/** Claims offered a second by all of them. */
const RATES = [400, 2_000, 4_000]

/** Time that an append takes, in milliseconds. */
const APPEND_MILLISECONDS = 10

/** Simulated seconds. */
const SECONDS = 5

/** Eight processes claim keys at a steady rate on one log in simulated time. */
export class ClaimsBenchmark extends Benchmark {
  override readonly name = 'claims'
  override readonly summary = 'claims of idempotency keys on 8 entry VMs; naive: one append for each claim'

  override async run (): Promise<ResultRow[]> {
    const rows: ResultRow[] = []
    for (const rate of RATES) rows.push(...await this._measure(rate))
    return rows
  }

  private async _measure (rate: number): Promise<ResultRow[]> {
    const clock = new FakeClock()
    const log = new FakePlatformLog(clock)
    log.latencyMilliseconds = APPEND_MILLISECONDS
    log.write(Array.from({ length: ENTRIES }, (_, index) => ({
      id: `join-${index}`,
      author: { member: 'operator', incarnation: '1' },
      time: clock.now(),
      body: { kind: 'join-member', value: { id: `entry-${index}`, incarnation: '1', role: 'entry', availabilityZone: 'a', address: { host: '127.0.0.1', port: 1 }, host: `vm-${index}`, joinedAt: clock.now() } }
    })))
    const tasks = Array.from({ length: ENTRIES }, (_, index) => this._entry(`entry-${index}`, clock, log))
    await clock.advance(1_000)
    const appendsBefore = log.appends
    let won = 0
    let waited = 0
    const total = rate * SECONDS
    for (let index = 0; index < total; index++) {
      const key = index.toString(16).padStart(64, '0')
      const startedAt = clock.now()
      void tasks[index % ENTRIES]?.claim(key, key, `request-${index}`, startedAt + 10_000).then(result => {
        if (result.kind !== 'won') return
        won += 1
        waited += clock.now() - startedAt
      })
      if (index % (rate / 200) === 0) await clock.advance(5)
    }
    await clock.advance(100)
    const appends = (log.appends - appendsBefore) / SECONDS
    return [
      { figure: `${rate} offered a second: won (1/s)`, value: won / SECONDS, naive: Math.min(rate, 300), target: '' },
      { figure: `${rate} offered a second: appends (1/s)`, value: appends, naive: rate, target: '300/s in all' },
      { figure: `${rate} offered a second: claims at 100 appends (1/s)`, value: 100 * won / SECONDS / appends, naive: 100, target: '' },
      { figure: `${rate} offered a second: mean wait (ms)`, value: waited / Math.max(1, won), naive: null, target: '' }
    ]
  }

  private _entry (name: string, clock: FakeClock, log: FakePlatformLog): ClaimTask {
    const metrics = new MemoryMetrics()
    const random = new SeededRandomSource(name.charCodeAt(name.length - 1))
    const keeper = new StateKeeper(clock, metrics)
    const writer = new LogWriterTask(log, keeper, clock, random, metrics)
    const holder = { member: name, incarnation: '1' }
    const claims = new ClaimTask(holder, keeper, new CommandSubmitter(holder, writer, keeper, clock), new SequentialIdentifierSource(name), clock, metrics)
    const never = new AbortController().signal
    void new LogFollowerTask(log, keeper, clock, random, metrics).run(never)
    void writer.run(never)
    void claims.run(never)
    return claims
  }
}
