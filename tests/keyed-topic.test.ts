/**
 * Tests of pages and records of an unexpected form: nothing ends or stalls, and the other records hold.
 */
import { Just, type Maybe } from 'purify-ts/Maybe'
import { expect, test } from 'vitest'
import { KeyedRecordCodec } from '../src/platform/keyed-record-codec.js'
import { KeyedTopic } from '../src/platform/keyed-topic.js'
import { TopicFeed } from '../src/platform/topic-feed.js'
import { FakeClock } from './support/fake-clock.js'
import { RecordingDecisionLog } from './support/recording-decision-log.js'
import { ScriptedCallClient } from './support/scripted-call-client.js'

const signal = new AbortController().signal

const LARGEST_RECORD_BYTES = 262_144

const topicOf = (respond: (path: string) => Buffer | object): { topic: KeyedTopic, client: ScriptedCallClient, log: RecordingDecisionLog } => {
  const client = new ScriptedCallClient(respond)
  const log = new RecordingDecisionLog()
  return { topic: new KeyedTopic(client, 'keyed.test', new FakeClock(), log), client, log }
}

const item = (key: string): object => ({ key, value: Buffer.from('v').toString('base64'), offset: 0 })

test('a page that announces more records and has none is not taken for the last one', async () => {
  const { topic } = topicOf(path => path.includes('after') ? { items: [], more: true, end_offset: 2 } : { items: [item('a')], more: true, end_offset: 2 })
  expect((await topic.newest(signal)).extract()).toMatchObject({ kind: 'invalid' })
})

test('pages that return to the same key end the reading instead of going on for ever', async () => {
  const { topic, client } = topicOf(() => ({ items: [item('a')], more: true, end_offset: 2 }))
  expect((await topic.newest(signal)).extract()).toMatchObject({ kind: 'invalid' })
  expect(client.paths).toHaveLength(2)
})

test('an item of another form, or a key that cannot stand in a path, hides no other record, and is logged', async () => {
  const { topic, log } = topicOf(path => path.includes('after') ? { items: [item('z')], more: false, end_offset: 5 } : { items: [item('a'), { key: 7 }, null, item('\ud800')], more: true, end_offset: 5 })
  expect((await topic.newest(signal)).unsafeCoerce().changes.map(({ value }) => value.key)).toEqual(['a', '\ud800', 'z'])
  expect(log.fieldsOf('records not read')).toMatchObject([{ topic: 'keyed.test', count: 2 }])
})

test('a record that is larger than an ordinary page is read with a larger one', async () => {
  const record = KeyedRecordCodec.encode([{ key: 'k', value: Buffer.alloc(LARGEST_RECORD_BYTES - 2) }])
  const { topic, client } = topicOf(path => {
    const header = Buffer.alloc(16)
    header.writeBigUInt64BE(1n, 0)
    const kilobytes = Number(/max_kb=(\d+)/.exec(path)?.[1])
    return Buffer.concat([header, record]).subarray(0, kilobytes * 1_024)
  })
  const page = (await topic.read(0, 0, signal)).unsafeCoerce()
  expect(page.changes.map(({ value }) => value.value.length)).toEqual([LARGEST_RECORD_BYTES - 2])
  expect(page.next).toBe(1)
  expect(client.paths).toHaveLength(2)
})

test('a record on which its decoder fails is skipped and logged, and the others of its page are returned', async () => {
  const header = Buffer.alloc(16)
  header.writeBigUInt64BE(3n, 0)
  const records = KeyedRecordCodec.encode(['a', 'b', 'c'].map(key => ({ key, value: Buffer.from('v') })))
  const { topic } = topicOf(() => Buffer.concat([header, records]))
  const log = new RecordingDecisionLog()
  const feed = new TopicFeed(topic, ({ key }): Maybe<string> => {
    if (key === 'b') throw new Error('b is not decoded')
    return Just(key)
  }, log)
  const page = (await feed.read(0, 0, signal)).unsafeCoerce()
  expect(page.changes.map(({ value }) => value)).toEqual(['a', 'c'])
  expect(page.next).toBe(3)
  expect(log.fieldsOf('record not decoded')).toEqual([{ topic: 'keyed.test', key: 'b', offset: 1, cause: 'b is not decoded' }])
})
