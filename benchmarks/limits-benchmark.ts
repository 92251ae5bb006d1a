/**
 * Benchmark of the division of upper limits among entry processes: exceeded limits, unused units and log appends.
 */
import { DemandGrantPolicy } from '../src/entry/demand-grant-policy.js'
import { FixedGrantPolicy } from '../src/entry/fixed-grant-policy.js'
import type { GrantPolicy } from '../src/entry/grant-policy.js'
import { GrantTask } from '../src/entry/grant-task.js'
import { LimitLedger } from '../src/entry/limit-ledger.js'
import { LoanTable } from '../src/entry/loan-table.js'
import { PoolQueues } from '../src/entry/pool-queues.js'
import { MemoryMetrics } from '../src/observability/memory-metrics.js'
import type { Command } from '../src/schemas/command.js'
import type { MemberStatus } from '../src/schemas/member-status.js'
import { Queue } from '../src/schemas/queue.js'
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

/** Number of entry processes. */
const ENTRY_PROCESSES = 8

/** Upper limit of the team. */
const UPPER_LIMIT = 16

/** Number of requests that run or wait at the busy process; more than the upper limit. */
const CONCURRENCY = 32

/** Service time of a request. */
const SERVICE_MILLISECONDS = 50

/** Simulated latency of an append to the log. */
const APPEND_LATENCY_MILLISECONDS = 20

/** Age of a member status when the other processes receive it. */
const STATUS_DELAY_MILLISECONDS = 300

/** Time after which the load moves from one process to the next. */
const LOAD_MOVE_INTERVAL_MILLISECONDS = 4_000

/** Simulated entry process that divides the upper limit with the others by grants on a shared log. */
class SimulatedEntry {
  readonly queues: PoolQueues
  readonly grants: GrantTask
  readonly keeper: StateKeeper
  /** Status that the other processes last received. */
  publishedStatus: MemberStatus | null = null
  /** Whether this process has the load now. */
  isBusy = false

  constructor (readonly name: string, clock: FakeClock, log: FakePlatformLog, policy: GrantPolicy, otherStatuses: () => MemberStatus[]) {
    const metrics = new MemoryMetrics()
    const random = new SeededRandomSource(name.length + name.charCodeAt(name.length - 1))
    const holder = { member: name, incarnation: '1' }
    this.keeper = new StateKeeper(clock, metrics)
    const writer = new LogWriterTask(log, this.keeper, clock, random, metrics)
    const submitter = new CommandSubmitter(holder, writer, this.keeper, clock)
    const ledger = new LimitLedger(this.keeper, holder, new LoanTable(clock))
    this.queues = new PoolQueues(this.keeper, ledger, clock, metrics)
    this.grants = new GrantTask(holder, ledger, this.queues, policy, otherStatuses, this.keeper, submitter, new SequentialIdentifierSource(name), clock, metrics, () => true)
    const neverAborted = new AbortController().signal
    void new LogFollowerTask(log, this.keeper, clock, random, metrics).run(neverAborted)
    void writer.run(neverAborted)
    void this.grants.run(neverAborted)
  }
}

/** Simulates a team whose whole load moves from one entry process to the next. */
export class LimitsBenchmark extends Benchmark {
  override readonly name = 'limits'
  override readonly summary = `an upper limit of ${UPPER_LIMIT} divided among ${ENTRY_PROCESSES} entry VMs while the load moves from one to the next every ${LOAD_MOVE_INTERVAL_MILLISECONDS / 1_000} s; naive: equal fixed grants`

  override async run (): Promise<ResultRow[]> {
    const system = await this._measure(new DemandGrantPolicy())
    const naive = await this._measure(new FixedGrantPolicy())
    return [
      { figure: 'running above the limit, worst', value: system.excess, naive: naive.excess, target: '0' },
      { figure: 'limit left unused (%)', value: system.unusedPercentage, naive: naive.unusedPercentage, target: 'small' },
      { figure: 'limit left unused a second after the work moved (%)', value: system.unusedPercentageAfterSettling, naive: naive.unusedPercentageAfterSettling, target: 'small' },
      { figure: 'appends (1/s)', value: system.appendsPerSecond, naive: naive.appendsPerSecond, target: '300/s in all' }
    ]
  }

  private async _measure (policy: GrantPolicy): Promise<{ excess: number, unusedPercentage: number, unusedPercentageAfterSettling: number, appendsPerSecond: number }> {
    const clock = new FakeClock()
    const log = new FakePlatformLog(clock)
    log.latencyMilliseconds = APPEND_LATENCY_MILLISECONDS
    const entries: SimulatedEntry[] = []
    for (let index = 0; index < ENTRY_PROCESSES; index++) {
      const name = `entry-${index}`
      entries.push(new SimulatedEntry(name, clock, log, policy, () => entries.flatMap(entry => entry.name !== name && entry.publishedStatus ? [entry.publishedStatus] : [])))
    }
    this._writeConfiguration(log, clock)
    void this._exchangeStatuses(entries, clock)
    await clock.advance(1_000)
    const load = { running: 0 }
    for (const entry of entries) for (let index = 0; index < CONCURRENCY; index++) void this._sendRequests(entry, `${entry.name}-${index}`, clock, load)
    let [peak, runningSum, samples, settledRunningSum, settledSamples] = [0, 0, 0, 0, 0]
    const appendsBefore = log.appends
    const startedAt = clock.now()
    for (const busy of entries) {
      for (const entry of entries) entry.isBusy = entry === busy
      for (let elapsed = 0; elapsed < LOAD_MOVE_INTERVAL_MILLISECONDS; elapsed += 5) {
        await clock.advance(5)
        peak = Math.max(peak, load.running)
        runningSum += load.running
        samples += 1
        if (elapsed < 1_000) continue
        settledRunningSum += load.running
        settledSamples += 1
      }
    }
    const seconds = (clock.now() - startedAt) / 1_000
    return {
      excess: Math.max(0, peak - UPPER_LIMIT),
      unusedPercentage: 100 * (1 - runningSum / samples / UPPER_LIMIT),
      unusedPercentageAfterSettling: 100 * (1 - settledRunningSum / settledSamples / UPPER_LIMIT),
      appendsPerSecond: (log.appends - appendsBefore) / seconds
    }
  }

  private _writeConfiguration (log: FakePlatformLog, clock: FakeClock): void {
    const commands: Command[] = [
      ...Array.from({ length: ENTRY_PROCESSES }, (_, index): Command => ({
        kind: 'join-member',
        value: { id: `entry-${index}`, incarnation: '1', role: 'entry', availabilityZone: 'a', address: { host: '127.0.0.1', port: 1 }, host: `vm-${index}`, joinedAt: clock.now() }
      })),
      { kind: 'put-team', value: { name: 'team', share: 1, upperLimit: UPPER_LIMIT }, expectedVersion: 0 }
    ]
    log.write(commands.map((body, index) => ({ id: `setup-${index}`, author: { member: 'operator', incarnation: '1' }, time: clock.now(), body })))
  }

  /** Publishes the status of each process to the others with a delay, as peers do with heartbeats. */
  private async _exchangeStatuses (entries: readonly SimulatedEntry[], clock: FakeClock): Promise<void> {
    for (;;) {
      const statuses = entries.map((entry): MemberStatus => ({
        member: entry.name, incarnation: '1', sequence: 0, offset: 0, freshAt: 0, reachesLog: true, grantUses: entry.grants.grantUses()
      }))
      await clock.sleepUntil(clock.now() + STATUS_DELAY_MILLISECONDS)
      entries.forEach((entry, index) => { entry.publishedStatus = statuses[index] ?? null })
    }
  }

  /** Sends one request after another while the process has the load. */
  private async _sendRequests (entry: SimulatedEntry, id: string, clock: FakeClock, load: { running: number }): Promise<void> {
    const queue = Queue.parse({ name: 'work', pool: 'work' })
    const pool = entry.queues.get('work')
    pool.setAllocation({ total: 1_000, byTeam: new Map() })
    const signal = new AbortController().signal
    for (let count = 0; ; count++) {
      if (!entry.isBusy) {
        await clock.sleepUntil(clock.now() + 10)
        continue
      }
      const slot = await pool.acquire({ requestId: `${id}-${count}`, team: 'team', queue, bytes: 0, deadline: clock.now() + LOAD_MOVE_INTERVAL_MILLISECONDS, isRetry: false, signal })
      if (slot.isLeft()) continue
      load.running += 1
      await clock.sleepUntil(clock.now() + SERVICE_MILLISECONDS)
      load.running -= 1
      slot.ifRight(({ release }) => release())
    }
  }
}
