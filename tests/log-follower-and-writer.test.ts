/**
 * Follower, writer and snapshots against the faults of the platform's log.
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

/** One process's log parts on a shared log. */
class Reader {
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

function put (name: string, expectedVersion = 0): Command {
  return { kind: 'put-pool', value: Pool.parse({ name }), expectedVersion }
}

function setUp (): { clock: FakeClock, log: FakePlatformLog, reader: Reader } {
  const clock = new FakeClock()
  const log = new FakePlatformLog(clock)
  return { clock, log, reader: new Reader(clock, log, 'first') }
}

async function submit (reader: Reader, command: Command, id: string, wait = 10_000) {
  const result = reader.submitter.submit(command, { id, purpose: 'operators', deadline: reader.clock.now() + wait })
  await reader.clock.advance(wait + 1)
  return result
}

describe('submitting', () => {
  it('settles a lost answer by reading on: the change is accepted and not made twice', async () => {
    const { log, reader } = setUp()
    log.lostAnswers = 3
    expect(await submit(reader, put('one'), 'change')).toMatchObject({ kind: 'accepted' })
    expect(reader.keeper.state.pools.get('one')?.version).toBe(1)
    reader.stop()
  })

  it('appends again what was lost on the way', async () => {
    const { log, reader } = setUp()
    log.lostAppends = 3
    expect(await submit(reader, put('one'), 'change')).toMatchObject({ kind: 'accepted' })
    reader.stop()
  })

  it('says unknown while the log is down, and never appends after the deadline', async () => {
    const { clock, log, reader } = setUp()
    log.isDown = true
    log.disturb()
    expect(await submit(reader, put('one'), 'change', 3_000)).toEqual({ kind: 'unknown', id: 'change' })
    log.isDown = false
    await clock.advance(20_000)
    expect(log.nextOffset).toBe(1)
    reader.stop()
  })

  it('answers a repeated change id with the first verdict, at another process too', async () => {
    const { clock, log, reader } = setUp()
    const second = new Reader(clock, log, 'second')
    expect(await submit(reader, put('one'), 'change')).toMatchObject({ kind: 'accepted', decision: { offset: 1 } })
    expect(await submit(second, put('one'), 'change')).toMatchObject({ kind: 'accepted', decision: { offset: 1 } })
    expect(log.nextOffset).toBe(2)
    reader.stop()
    second.stop()
  })

  it('commits what gathered in one group, operators first', async () => {
    const { clock, log, reader } = setUp()
    log.isDown = true
    log.disturb()
    const results = Array.from({ length: 200 }, (_, index) => {
      const purpose = index % 2 === 0 ? 'outcomes' as const : 'operators' as const
      return reader.submitter.submit(put(`pool-${index}`), { id: `${purpose}-${index}`, purpose, deadline: clock.now() + 10_000 })
    })
    await clock.advance(500)
    log.isDown = false
    await clock.advance(9_501)
    expect((await Promise.all(results)).every(result => result.kind === 'accepted')).toBe(true)
    expect(log.appends).toBe(1)
    const ids = log.records.map(({ record }) => (record as { id: string }).id)
    expect(ids.findLastIndex(id => id.startsWith('operators'))).toBeLessThan(ids.findIndex(id => id.startsWith('outcomes')))
    reader.stop()
  })

  it('keeps to this process\'s part of the fleet\'s appends', async () => {
    const { clock, log, reader } = setUp()
    const seconds = 10
    const stop = clock.now() + seconds * 1_000
    let count = 0
    while (clock.now() < stop) {
      reader.writer.enqueue({ id: `record-${count++}`, author: { member: 'm', incarnation: '1' }, time: 1, body: put(`pool-${count}`) }, 'claims', stop + 1_000)
      await clock.advance(1)
    }
    expect(log.appends).toBeLessThanOrEqual(300 * seconds + 4)
    expect(log.appends).toBeGreaterThan(200 * seconds)
    reader.stop()
  })

  it('sheds the least urgent first when too much waits, and says that it was not appended', async () => {
    const { clock, log, reader } = setUp()
    log.isDown = true
    log.disturb()
    await clock.advance(1)
    const record = (id: string) => ({ id, author: { member: 'm', incarnation: '1' }, time: 1, body: put(id) })
    const deadline = clock.now() + 60_000
    for (let index = 0; index < 2_048; index++) expect(reader.writer.enqueue(record(`s-${index}`), 'snapshots', deadline)).toBe(true)
    expect(reader.writer.enqueue(record('late-snapshot'), 'snapshots', deadline)).toBe(false)
    expect(reader.writer.enqueue(record('operator'), 'operators', deadline)).toBe(true)
    expect(reader.metrics.value('log.shed_records')).toBe(2)
    reader.stop()
  })
})

describe('following', () => {
  it('sets unreadable and unknown records aside and goes on', async () => {
    const { clock, log, reader } = setUp()
    log.write([null, 'text', { id: 'x' }, { id: 'y', author: { member: 'm', incarnation: '1' }, time: 1, body: { kind: 'from-the-future' } }])
    await submit(reader, put('one'), 'change')
    expect(reader.keeper.state.pools.has('one')).toBe(true)
    expect(reader.metrics.value('log.unreadable_records')).toBe(4)
    await clock.advance(1)
    reader.stop()
  })

  it('takes nothing back when the log holds less than it has folded', async () => {
    const { clock, log, reader } = setUp()
    await submit(reader, put('one'), 'change')
    const other = new FakePlatformLog(clock)
    log.records = other.records
    Object.assign(log, { _nextOffset: 1 })
    log.disturb()
    await clock.advance(5_000)
    expect(reader.keeper.state.offset).toBe(1)
    expect(reader.metrics.value('log.behind')).toBeGreaterThan(0)
    reader.stop()
  })

  it('refuses a snapshot and records older than what it holds', async () => {
    const { reader } = setUp()
    const old = reader.keeper.state.toSnapshot()
    await submit(reader, put('one'), 'change')
    expect(reader.keeper.loadSnapshot(old)).toBe(false)
    expect(reader.keeper.applyRecords([{ offset: 1, record: { id: 'other' } }])).toBe(true)
    expect(reader.keeper.state.pools.has('one')).toBe(true)
    reader.stop()
  })

  it('takes no record behind a gap', () => {
    const { reader } = setUp()
    expect(reader.keeper.applyRecords([{ offset: 2, record: null }])).toBe(false)
    expect(reader.keeper.state.offset).toBe(0)
    reader.stop()
  })
})

describe('snapshots', () => {
  function chunks (reader: Reader, id: string): unknown[] {
    return new SnapshotCodec().split(reader.keeper.state.toSnapshot(), id)
      .map((body, index) => ({ id: `${id}-${index}`, author: { member: 'control', incarnation: '1' }, time: 1, body }))
  }

  async function filled (count: number): Promise<{ clock: FakeClock, log: FakePlatformLog, reader: Reader }> {
    const parts = setUp()
    for (let index = 0; index < count; index += 100) {
      parts.log.write(Array.from({ length: Math.min(100, count - index) }, (_, item) => (
        { id: `pool-${index + item}`, author: { member: 'o', incarnation: '1' }, time: 1, body: put(`pool-${index + item}`) })))
    }
    await parts.clock.advance(3_000)
    expect(parts.reader.keeper.state.pools.size).toBe(count)
    return parts
  }

  it('let a reader start whose place retention has cut away', async () => {
    const { clock, log, reader } = await filled(1_000)
    const pieces = chunks(reader, 'whole')
    expect(pieces.length).toBeGreaterThan(1)
    log.write(pieces)
    log.write([{ id: 'after', author: { member: 'o', incarnation: '1' }, time: 1, body: put('after') }])
    log.retain(pieces.length + 1)
    const late = new Reader(clock, log, 'late')
    await clock.advance(5_000)
    expect(late.keeper.state.pools.size).toBe(1_001)
    expect(late.keeper.state.toSnapshot()).toEqual(reader.keeper.state.toSnapshot())
    reader.stop()
    late.stop()
  })

  it('are taken only whole: a writer that died half way, a changed piece, and two writers at once', async () => {
    const { clock, log, reader } = await filled(1_000)
    const good = chunks(reader, 'good')
    const half = chunks(reader, 'half').slice(0, 1)
    const broken = (chunks(reader, 'broken') as { body: { data: string } }[]).map((chunk, index) => index === 0 ? { ...chunk, body: { ...chunk.body, data: chunk.body.data.replace('pool-1', 'pool-x') } } : chunk)
    const mixed = [...half, ...broken.flatMap((piece, index) => [piece, good[index]])]
    log.write(mixed)
    log.retain(mixed.length)
    const late = new Reader(clock, log, 'late')
    await clock.advance(5_000)
    expect(late.metrics.value('state.snapshots_rejected')).toBe(1)
    expect(late.keeper.state.pools.size).toBe(1_000)
    reader.stop()
    late.stop()
  })

  it('don\'t exist: the reader keeps what it has and says that it is cut off from the log', async () => {
    const { clock, log, reader } = await filled(200)
    log.retain(50)
    const late = new Reader(clock, log, 'late')
    await clock.advance(5_000)
    expect(late.keeper.state.offset).toBe(0)
    expect(late.metrics.value('log.cut')).toBeGreaterThan(0)
    expect(late.follower.reachesLog).toBe(false)
    reader.stop()
    late.stop()
  })
})
