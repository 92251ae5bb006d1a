/**
 * What the division of upper limits costs, and that it is never exceeded.
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

/** Entry processes, the team's limit, and requests that the busy process keeps under way. */
const ENTRIES = 8
const LIMIT = 16
const BACKLOG = 32

/** Time that a request and an append take, and the age of what others tell, in milliseconds. */
const SERVICE_MILLISECONDS = 50
const APPEND_MILLISECONDS = 20
const GOSSIP_MILLISECONDS = 300

/** How long the work stays at one process before it moves to the next, in milliseconds. */
const STAY_MILLISECONDS = 4_000

/** One entry process's grants on a shared log. */
class LimitEntry {
  readonly queues: PoolQueues
  readonly grants: GrantTask
  readonly keeper: StateKeeper
  told: MemberStatus | null = null
  /** Whether the work is here now. */
  isBusy = false

  constructor (readonly name: string, clock: FakeClock, log: FakePlatformLog, policy: GrantPolicy, others: () => MemberStatus[]) {
    const metrics = new MemoryMetrics()
    const random = new SeededRandomSource(name.length + name.charCodeAt(name.length - 1))
    const holder = { member: name, incarnation: '1' }
    this.keeper = new StateKeeper(clock, metrics)
    const writer = new LogWriterTask(log, this.keeper, clock, random, metrics)
    const submitter = new CommandSubmitter(holder, writer, this.keeper, clock)
    const ledger = new LimitLedger(this.keeper, holder, new LoanTable(clock))
    this.queues = new PoolQueues(this.keeper, ledger, clock, metrics)
    this.grants = new GrantTask(holder, ledger, this.queues, policy, others, this.keeper, submitter, new SequentialIdentifierSource(name), clock, metrics, () => true)
    const never = new AbortController().signal
    void new LogFollowerTask(log, this.keeper, clock, random, metrics).run(never)
    void writer.run(never)
    void this.grants.run(never)
  }
}

/** One team whose whole work moves from process to process. */
export class LimitsBenchmark extends Benchmark {
  override readonly name = 'limits'
  override readonly summary = `a limit of ${LIMIT} over ${ENTRIES} entry VMs while the work moves from one to the next every ${STAY_MILLISECONDS / 1_000} s; naive: even fixed parts`

  override async run (): Promise<ResultRow[]> {
    const ours = await this._measure(new DemandGrantPolicy())
    const naive = await this._measure(new FixedGrantPolicy())
    return [
      { figure: 'running above the limit, worst', value: ours.overshoot, naive: naive.overshoot, target: '0' },
      { figure: 'limit left unused (%)', value: ours.loss, naive: naive.loss, target: 'small' },
      { figure: 'limit left unused a second after the work moved (%)', value: ours.lossSettled, naive: naive.lossSettled, target: 'small' },
      { figure: 'appends (1/s)', value: ours.appends, naive: naive.appends, target: '300/s in all' }
    ]
  }

  private async _measure (policy: GrantPolicy): Promise<{ overshoot: number, loss: number, lossSettled: number, appends: number }> {
    const clock = new FakeClock()
    const log = new FakePlatformLog(clock)
    log.latencyMilliseconds = APPEND_MILLISECONDS
    const entries: LimitEntry[] = []
    for (let index = 0; index < ENTRIES; index++) {
      const name = `entry-${index}`
      entries.push(new LimitEntry(name, clock, log, policy, () => entries.flatMap(entry => entry.name !== name && entry.told ? [entry.told] : [])))
    }
    this._configure(log, clock)
    void this._gossip(entries, clock)
    await clock.advance(1_000)
    const total = { running: 0 }
    for (const entry of entries) for (let index = 0; index < BACKLOG; index++) void this._work(entry, `${entry.name}-${index}`, clock, total)
    let [peak, sum, samples, sumSettled, samplesSettled] = [0, 0, 0, 0, 0]
    const appendsBefore = log.appends
    const startedAt = clock.now()
    for (const busy of entries) {
      for (const entry of entries) entry.isBusy = entry === busy
      for (let elapsed = 0; elapsed < STAY_MILLISECONDS; elapsed += 5) {
        await clock.advance(5)
        peak = Math.max(peak, total.running)
        sum += total.running
        samples += 1
        if (elapsed < 1_000) continue
        sumSettled += total.running
        samplesSettled += 1
      }
    }
    const seconds = (clock.now() - startedAt) / 1_000
    return {
      overshoot: Math.max(0, peak - LIMIT),
      loss: 100 * (1 - sum / samples / LIMIT),
      lossSettled: 100 * (1 - sumSettled / samplesSettled / LIMIT),
      appends: (log.appends - appendsBefore) / seconds
    }
  }

  private _configure (log: FakePlatformLog, clock: FakeClock): void {
    const commands: Command[] = [
      ...Array.from({ length: ENTRIES }, (_, index): Command => ({
        kind: 'join-member',
        value: { id: `entry-${index}`, incarnation: '1', role: 'entry', availabilityZone: 'a', address: { host: '127.0.0.1', port: 1 }, host: `vm-${index}`, joinedAt: clock.now() }
      })),
      { kind: 'put-team', value: { name: 'team', share: 1, upperLimit: LIMIT }, expectedVersion: 0 }
    ]
    log.write(commands.map((body, index) => ({ id: `setup-${index}`, author: { member: 'operator', incarnation: '1' }, time: clock.now(), body })))
  }

  private async _gossip (entries: readonly LimitEntry[], clock: FakeClock): Promise<void> {
    for (;;) {
      const now = entries.map((entry): MemberStatus => ({
        member: entry.name, incarnation: '1', sequence: 0, offset: 0, freshAt: 0, reachesLog: true, grantUses: entry.grants.grantUses()
      }))
      await clock.sleepUntil(clock.now() + GOSSIP_MILLISECONDS)
      entries.forEach((entry, index) => { entry.told = now[index] ?? null })
    }
  }

  private async _work (entry: LimitEntry, id: string, clock: FakeClock, total: { running: number }): Promise<void> {
    const queue = Queue.parse({ name: 'work', pool: 'work' })
    const pool = entry.queues.get('work')
    pool.setAllocation({ total: 1_000, byTeam: new Map() })
    const signal = new AbortController().signal
    for (let count = 0; ; count++) {
      if (!entry.isBusy) {
        await clock.sleepUntil(clock.now() + 10)
        continue
      }
      const slot = await pool.acquire({ requestId: `${id}-${count}`, team: 'team', queue, bytes: 0, deadline: clock.now() + STAY_MILLISECONDS, isRetry: false, signal })
      if (slot.isLeft()) continue
      total.running += 1
      await clock.sleepUntil(clock.now() + SERVICE_MILLISECONDS)
      total.running -= 1
      slot.ifRight(({ release }) => release())
    }
  }
}
