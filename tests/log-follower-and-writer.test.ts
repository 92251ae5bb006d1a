/**
 * Tests of following, appending to and snapshotting the platform's log while it is down, loses appends or responses,
 * holds unreadable records, or has removed records by retention.
 */
import { describe, expect, it } from 'vitest'
import { MemoryMetrics } from '../src/observability/memory-metrics.js'
import type { Command } from '../src/schemas/command.js'
import { Pool } from '../src/schemas/pool.js'
import { CommandSubmitter } from '../src/state/command-submitter.js'
import { LogFollowerTask } from '../src/state/log-follower-task.js'
import { LogWriterTask } from '../src/state/log-writer-task.js'
import { SnapshotCodec } from '../src/state/snapshot-codec.js'
import { StateKeeper } from '../src/state/state-keeper.js'
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { FakeClock } from './support/fake-clock.js'
import { FakePlatformLog } from './support/fake-platform-log.js'

/** The tasks with which one process follows and appends to the log that it shares with others. */
class LogClient {
  readonly metrics = new MemoryMetrics()
  readonly keeper: StateKeeper
  readonly follower: LogFollowerTask
  readonly writer: LogWriterTask
  readonly submitter: CommandSubmitter
  private readonly _stop = new AbortController()

  constructor (readonly clock: FakeClock, log: FakePlatformLog, name: string) {
    const random = new SeededRandomSource(7)
    this.keeper = new StateKeeper(clock, this.metrics)
    this.follower = new LogFollowerTask(log, this.keeper, clock, random, this.metrics)
    this.writer = new LogWriterTask(log, this.keeper, clock, random, this.metrics)
    this.submitter = new CommandSubmitter({ member: name, incarnation: '1' }, this.writer, this.keeper, clock)
    void this.follower.run(this._stop.signal)
    void this.writer.run(this._stop.signal)
  }

  stop (): void {
    this._stop.abort()
  }
}

function putPool (name: string, expectedVersion = 0): Command {
  return { kind: 'put-pool', value: Pool.parse({ name }), expectedVersion }
}

function setUp (): { clock: FakeClock, log: FakePlatformLog, client: LogClient } {
  const clock = new FakeClock()
  const log = new FakePlatformLog(clock)
  return { clock, log, client: new LogClient(clock, log, 'first') }
}

async function submit (client: LogClient, command: Command, id: string, waitMilliseconds = 10_000) {
  const result = client.submitter.submit(command, { id, purpose: 'operators', deadline: client.clock.now() + waitMilliseconds })
  await client.clock.advance(waitMilliseconds + 1)
  return result
}

describe('command submission', () => {
  it('resolves a lost append response by following the log: the change is accepted and made only once', async () => {
    const { log, client } = setUp()
    log.lostResponses = 3
    expect(await submit(client, putPool('one'), 'change')).toMatchObject({ kind: 'accepted' })
    expect(client.keeper.state.pools.get('one')?.version).toBe(1)
    client.stop()
  })

  it('repeats appends that were lost', async () => {
    const { log, client } = setUp()
    log.lostAppends = 3
    expect(await submit(client, putPool('one'), 'change')).toMatchObject({ kind: 'accepted' })
    client.stop()
  })

  it('returns unknown while the log is down, and never appends after the deadline', async () => {
    const { clock, log, client } = setUp()
    log.isDown = true
    log.wakeReaders()
    expect(await submit(client, putPool('one'), 'change', 3_000)).toEqual({ kind: 'unknown', id: 'change' })
    log.isDown = false
    await clock.advance(20_000)
    expect(log.nextOffset).toBe(1)
    client.stop()
  })

  it('answers a repeated change id with the first decision, also at another process', async () => {
    const { clock, log, client } = setUp()
    const second = new LogClient(clock, log, 'second')
    expect(await submit(client, putPool('one'), 'change')).toMatchObject({ kind: 'accepted', decision: { offset: 1 } })
    expect(await submit(second, putPool('one'), 'change')).toMatchObject({ kind: 'accepted', decision: { offset: 1 } })
    expect(log.nextOffset).toBe(2)
    client.stop()
    second.stop()
  })

  it('appends the records that were queued during an outage as one batch, operators first', async () => {
    const { clock, log, client } = setUp()
    log.isDown = true
    log.wakeReaders()
    const results = Array.from({ length: 200 }, (_, index) => {
      const purpose = index % 2 === 0 ? 'outcomes' as const : 'operators' as const
      return client.submitter.submit(putPool(`pool-${index}`), { id: `${purpose}-${index}`, purpose, deadline: clock.now() + 10_000 })
    })
    await clock.advance(500)
    log.isDown = false
    await clock.advance(9_501)
    expect((await Promise.all(results)).every(result => result.kind === 'accepted')).toBe(true)
    expect(log.appends).toBe(1)
    const ids = log.records.map(({ record }) => (record as { id: string }).id)
    expect(ids.findLastIndex(id => id.startsWith('operators'))).toBeLessThan(ids.findIndex(id => id.startsWith('outcomes')))
    client.stop()
  })

  it('stays within this process\'s fraction of the fleet\'s append rate', async () => {
    const { clock, log, client } = setUp()
    const seconds = 10
    const end = clock.now() + seconds * 1_000
    let count = 0
    while (clock.now() < end) {
      client.writer.enqueue({ id: `record-${count++}`, author: { member: 'm', incarnation: '1' }, time: 1, body: putPool(`pool-${count}`) }, 'claims', end + 1_000)
      await clock.advance(1)
    }
    expect(log.appends).toBeLessThanOrEqual(300 * seconds + 4)
    expect(log.appends).toBeGreaterThan(200 * seconds)
    client.stop()
  })

  it('sheds the records of lowest priority first when too many are queued, and reports that they were not appended', async () => {
    const { clock, log, client } = setUp()
    log.isDown = true
    log.wakeReaders()
    await clock.advance(1)
    const record = (id: string) => ({ id, author: { member: 'm', incarnation: '1' }, time: 1, body: putPool(id) })
    const deadline = clock.now() + 60_000
    for (let index = 0; index < 2_048; index++) expect(client.writer.enqueue(record(`s-${index}`), 'snapshots', deadline)).toBe(true)
    expect(client.writer.enqueue(record('late-snapshot'), 'snapshots', deadline)).toBe(false)
    expect(client.writer.enqueue(record('operator'), 'operators', deadline)).toBe(true)
    expect(client.metrics.value('log.shed_records')).toBe(2)
    client.stop()
  })
})

describe('log following', () => {
  it('skips unreadable and unknown records and goes on', async () => {
    const { clock, log, client } = setUp()
    log.write([null, 'text', { id: 'x' }, { id: 'y', author: { member: 'm', incarnation: '1' }, time: 1, body: { kind: 'from-the-future' } }])
    await submit(client, putPool('one'), 'change')
    expect(client.keeper.state.pools.has('one')).toBe(true)
    expect(client.metrics.value('log.unreadable_records')).toBe(4)
    await clock.advance(1)
    client.stop()
  })

  it('keeps its state when the log holds fewer records than it has folded', async () => {
    const { clock, log, client } = setUp()
    await submit(client, putPool('one'), 'change')
    const other = new FakePlatformLog(clock)
    log.records = other.records
    Object.assign(log, { _nextOffset: 1 })
    log.wakeReaders()
    await clock.advance(5_000)
    expect(client.keeper.state.offset).toBe(1)
    expect(client.metrics.value('log.behind')).toBeGreaterThan(0)
    client.stop()
  })

  it('refuses a snapshot that is older than its state, and skips records that it has already applied', async () => {
    const { client } = setUp()
    const oldSnapshot = client.keeper.state.toSnapshot()
    await submit(client, putPool('one'), 'change')
    expect(client.keeper.loadSnapshot(oldSnapshot)).toBe(false)
    expect(client.keeper.applyRecords([{ offset: 1, record: { id: 'other' } }])).toBe(true)
    expect(client.keeper.state.pools.has('one')).toBe(true)
    client.stop()
  })

  it('applies no record after a gap', () => {
    const { client } = setUp()
    expect(client.keeper.applyRecords([{ offset: 2, record: null }])).toBe(false)
    expect(client.keeper.state.offset).toBe(0)
    client.stop()
  })
})

describe('snapshots', () => {
  function chunks (client: LogClient, id: string): unknown[] {
    return new SnapshotCodec().split(client.keeper.state.toSnapshot(), id)
      .map((body, index) => ({ id: `${id}-${index}`, author: { member: 'control', incarnation: '1' }, time: 1, body }))
  }

  async function setUpPools (count: number): Promise<{ clock: FakeClock, log: FakePlatformLog, client: LogClient }> {
    const setup = setUp()
    for (let index = 0; index < count; index += 100) {
      setup.log.write(Array.from({ length: Math.min(100, count - index) }, (_, item) => (
        { id: `pool-${index + item}`, author: { member: 'o', incarnation: '1' }, time: 1, body: putPool(`pool-${index + item}`) })))
    }
    await setup.clock.advance(3_000)
    expect(setup.client.keeper.state.pools.size).toBe(count)
    return setup
  }

  it('allow a new process to start when the first records are no longer retained', async () => {
    const { clock, log, client } = await setUpPools(1_000)
    const snapshotRecords = chunks(client, 'whole')
    expect(snapshotRecords.length).toBeGreaterThan(1)
    log.write(snapshotRecords)
    log.write([{ id: 'after', author: { member: 'o', incarnation: '1' }, time: 1, body: putPool('after') }])
    log.retain(snapshotRecords.length + 1)
    const lateClient = new LogClient(clock, log, 'late')
    await clock.advance(5_000)
    expect(lateClient.keeper.state.pools.size).toBe(1_001)
    expect(lateClient.keeper.state.toSnapshot()).toEqual(client.keeper.state.toSnapshot())
    client.stop()
    lateClient.stop()
  })

  it('are loaded only if complete and unchanged, even when a writer crashed halfway, a chunk was altered, and two writers appended at once', async () => {
    const { clock, log, client } = await setUpPools(1_000)
    const complete = chunks(client, 'good')
    const incomplete = chunks(client, 'half').slice(0, 1)
    const altered = (chunks(client, 'broken') as { body: { data: string } }[]).map((chunk, index) => index === 0 ? { ...chunk, body: { ...chunk.body, data: chunk.body.data.replace('pool-1', 'pool-x') } } : chunk)
    const interleaved = [...incomplete, ...altered.flatMap((alteredRecord, index) => [alteredRecord, complete[index]])]
    log.write(interleaved)
    log.retain(interleaved.length)
    const lateClient = new LogClient(clock, log, 'late')
    await clock.advance(5_000)
    expect(lateClient.metrics.value('state.snapshots_rejected')).toBe(1)
    expect(lateClient.keeper.state.pools.size).toBe(1_000)
    client.stop()
    lateClient.stop()
  })

  it('that are missing leave a new process in its initial state, and it reports that it doesn\'t reach the log', async () => {
    const { clock, log, client } = await setUpPools(200)
    log.retain(50)
    const lateClient = new LogClient(clock, log, 'late')
    await clock.advance(5_000)
    expect(lateClient.keeper.state.offset).toBe(0)
    expect(lateClient.metrics.value('log.cut')).toBeGreaterThan(0)
    expect(lateClient.follower.reachesLog).toBe(false)
    client.stop()
    lateClient.stop()
  })
})
