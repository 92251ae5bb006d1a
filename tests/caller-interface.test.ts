/**
 * The caller interface over the wire.
 */
import { connect } from 'node:net'
import { once } from 'node:events'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import type { EndpointServer } from '../stand-ins/endpoint-server.js'
import { WireFleet } from './support/wire-fleet.js'

let fleet: WireFleet
let endpoint: EndpointServer
let key: string
let base: string
let port: number

beforeAll(async () => {
  fleet = new WireFleet()
  await fleet.start()
  endpoint = await fleet.addEndpoint('a-1', 'work')
  await fleet.addProcess('control', 'a')
  const entry = await fleet.addProcess('entry', 'a')
  port = entry.address.port
  base = `http://127.0.0.1:${port}`
  await fleet.until(() => entry.tree.keeper.state.members.size === 2, 'both joined')
  key = await fleet.deploy('work', 'team', 16, { maximumBodyBytes: 200_000 })
  await fleet.change('PUT', '/queues/open', { pool: 'work', openToAll: true, isIdempotent: true })
})

afterAll(async () => { await fleet.close() })

async function call (path: string, options: { method?: string, headers?: Record<string, string>, body?: string | Buffer, key?: string | null } = {}) {
  const shown = options.key === undefined ? key : options.key
  const headers = { ...options.headers, ...(shown === null ? {} : { authorization: `Bearer ${shown}` }) }
  const response = await request(base + path, { method: (options.method ?? 'GET') as 'GET', headers, body: options.body ?? null })
  const text = await response.body.text()
  const isProblem = response.headers['content-type'] === 'application/problem+json'
  return { status: response.statusCode, headers: response.headers, text, problem: isProblem ? JSON.parse(text) : null }
}

/** Writes bytes as they are and reads all that comes back. */
async function raw (...pieces: string[]): Promise<string> {
  const socket = connect(port, '127.0.0.1')
  let answer = ''
  socket.on('data', data => { answer += data.toString() })
  socket.on('error', () => {})
  for (const piece of pieces) socket.write(piece)
  await once(socket, 'close')
  return answer
}

describe('a good request', () => {
  it('is answered in full, with its identity, and without the key reaching the endpoint', async () => {
    const answer = await call('/queues/work/some/path?x=1', { method: 'POST', body: 'hello', headers: { 'content-type': 'text/plain', connection: 'keep-alive, x-hop', 'x-hop': '1' } })
    expect(answer).toMatchObject({ status: 200, text: 'hello' })
    expect(answer.headers['samphireglade-request-id']).toBe(endpoint.ledger.at(-1)?.requestId)
    expect(answer.headers['samphireglade-running']).toBeUndefined()
    expect(endpoint.ledger.at(-1)).toMatchObject({ team: 'team', path: '/some/path?x=1', method: 'POST' })
  })

  it('streams a body larger than what is held in memory, both ways', async () => {
    const body = Buffer.alloc(150_000, 'x')
    const answer = await call('/queues/work/', { method: 'POST', body })
    expect([answer.status, answer.text.length]).toEqual([200, 150_000])
  })

  it('needs no key on a queue open to all', async () => {
    expect(await call('/queues/open/', { key: null })).toMatchObject({ status: 200 })
    expect(endpoint.ledger.at(-1)?.team).toBeNull()
  })

  it('gets health and readiness', async () => {
    expect((await call('/healthz')).status).toBe(200)
    expect((await call('/readyz')).status).toBe(200)
  })
})

describe('a refused request', () => {
  const refusals: [string, number, string, () => ReturnType<typeof call>][] = [
    ['without a key', 401, 'key-invalid', () => call('/queues/work/', { key: null })],
    ['with a key of the wrong form', 401, 'key-invalid', () => call('/queues/work/', { key: 'nonsense' })],
    ['with an unknown key', 401, 'key-invalid', () => call('/queues/work/', { key: 'sgk.unknown.0123456789abcdef0123' })],
    ['with a wrong secret of a known key', 401, 'key-invalid', () => call('/queues/work/', { key: `${key.slice(0, -4)}AAAA` })],
    ['for an unknown queue', 404, 'queue-unknown', () => call('/queues/none/')],
    ['for a queue named as a property of every object', 404, 'queue-unknown', () => call('/queues/constructor/')],
    ['outside /queues', 404, 'queue-unknown', () => call('/elsewhere')],
    ['with a path that cannot be decoded', 404, 'queue-unknown', () => call('/queues/%zz/')],
    ['with a deadline that is no number', 400, 'malformed-request', () => call('/queues/work/', { headers: { 'samphireglade-deadline': 'soon' } })],
    ['with a deadline in the past', 504, 'deadline-passed', () => call('/queues/work/', { headers: { 'samphireglade-deadline': '1000' } })],
    ['with an idempotency key that is too long', 400, 'malformed-request', () => call('/queues/work/', { method: 'POST', body: 'x', headers: { 'idempotency-key': 'k'.repeat(300) } })],
    ['with a body announced too large', 413, 'body-too-large', () => call('/queues/work/', { method: 'POST', body: Buffer.alloc(200_001) })]
  ]
  it.each(refusals)('%s gets status %i %s and is not run', async (_name, status, type, send) => {
    const before = endpoint.ledger.length
    const answer = await send()
    expect(answer).toMatchObject({ status, problem: { type: `urn:samphireglade:problem:${type}`, outcome: 'not-run', status } })
    expect(endpoint.ledger.length).toBe(before)
  })

  it('with malformed HTTP gets a clear answer', async () => {
    const answer = await raw('GARBAGE\r\n\r\n')
    expect(answer).toMatch(/^HTTP\/1\.1 400 [\s\S]*problem\+json[\s\S]*"outcome":"not-run"/)
  })

  it('with headers beyond the bound gets 431', async () => {
    const answer = await raw(`GET /queues/work/ HTTP/1.1\r\nhost: x\r\nx-large: ${'y'.repeat(20_000)}\r\n\r\n`)
    expect(answer).toMatch(/^HTTP\/1\.1 431 [\s\S]*headers-too-large/)
  })

  it('whose chunked body grows too large is refused while it is sent', async () => {
    const before = endpoint.ledger.length
    const chunk = `${(50_000).toString(16)}\r\n${'z'.repeat(50_000)}\r\n`
    const head = 'POST /queues/open/ HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'
    await fleet.change('PUT', '/queues/open', { pool: 'work', openToAll: true, isIdempotent: true, maximumBodyBytes: 60_000 })
    const answer = await raw(head, chunk, chunk, chunk)
    expect(answer).toMatch(/^HTTP\/1\.1 413 [\s\S]*"outcome":"not-run"/)
    expect(endpoint.ledger.length).toBe(before)
  })

  it('with half a body runs nowhere', async () => {
    const before = endpoint.ledger.length
    const metrics = fleet.processes.get('entry-a')?.metrics
    const accepted = metrics?.value('requests.accepted') ?? 0
    const refused = metrics?.value('requests.refused', 'malformed-request') ?? 0
    const socket = connect(port, '127.0.0.1')
    socket.write(`POST /queues/work/ HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${key}\r\ncontent-length: 100\r\n\r\nhalf`)
    await fleet.until(() => (metrics?.value('requests.accepted') ?? 0) > accepted, 'arrived')
    socket.destroy()
    await fleet.until(() => (metrics?.value('requests.refused', 'malformed-request') ?? 0) > refused, 'noticed')
    expect(endpoint.ledger.length).toBe(before)
  })
})

describe('keys', () => {
  it('that were withdrawn stop working everywhere the change is in force', async () => {
    const granted = await fleet.change('POST', '/keys', { team: 'team' })
    expect((await call('/queues/work/', { key: String(granted['key']) })).status).toBe(200)
    await fleet.change('DELETE', `/keys/${String(granted['id'])}`)
    expect(await call('/queues/work/', { key: String(granted['key']) })).toMatchObject({ status: 401, problem: { detail: 'the key has been withdrawn' } })
  })

  it('open only the queues they were granted for', async () => {
    await fleet.change('PUT', '/queues/other', { pool: 'work' })
    const granted = await fleet.change('POST', '/keys', { team: 'team', queues: ['other'] })
    expect((await call('/queues/other/', { key: String(granted['key']) })).status).toBe(200)
    expect(await call('/queues/work/', { key: String(granted['key']) })).toMatchObject({ status: 403, problem: { outcome: 'not-run' } })
  })
})

describe('idempotency keys', () => {
  const post = (idempotencyKey: string, body: string) => call('/queues/work/post', { method: 'POST', body, headers: { 'idempotency-key': idempotencyKey, 'content-type': 'text/plain', 'x-mark': idempotencyKey } })
  const runs = (mark: string) => endpoint.ledger.filter(entry => entry.mark === mark).length

  it('run a posting once and give a repeat the recorded answer', async () => {
    expect(await post('once', 'amount 5')).toMatchObject({ status: 200, text: 'amount 5' })
    expect(await post('once', 'amount 5')).toMatchObject({ status: 200, text: 'amount 5' })
    expect(runs('once')).toBe(1)
  })

  it('let twenty arrivals at once run one posting', async () => {
    const answers = await Promise.all(Array.from({ length: 20 }, () => post('storm', 'amount 6')))
    expect(answers.every(answer => answer.status === 200 && answer.text === 'amount 6')).toBe(true)
    expect(runs('storm')).toBe(1)
  })

  it('used for another request are refused', async () => {
    await post('reused', 'amount 7')
    expect(await post('reused', 'amount 8')).toMatchObject({ status: 422, problem: { outcome: 'not-run' } })
    expect(runs('reused')).toBe(1)
  })
})

describe('queues of kind task', () => {
  it('take, list, show and cancel tasks of the caller\'s team, and run them on workers', async () => {
    await fleet.change('PUT', '/queues/jobs', { pool: 'work', kind: 'task' })
    await fleet.change('PUT', '/workers/worker-1', { availabilityZone: 'a', rack: 'rack', capacity: { processors: 4, memoryMegabytes: 4_000 } })
    const size = { processors: 1, memoryMegabytes: 10 }
    const payload = JSON.stringify({ runMilliseconds: 50 })
    const submitted = await call('/queues/jobs/tasks', { method: 'POST', body: JSON.stringify({ tasks: [{ id: 'job-1', size, payload }, { id: 'job-2', size: { processors: 99, memoryMegabytes: 1 } }] }) })
    expect(submitted.status).toBe(201)
    await fleet.until(async () => JSON.parse((await call('/queues/jobs/tasks/job-1')).text).phase === 'done', 'ran')
    await fleet.until(async () => JSON.parse((await call('/queues/jobs/tasks/job-2')).text).phase === 'parked', 'parked')
    expect((await call('/queues/jobs/tasks/cancel', { method: 'POST', body: JSON.stringify({ ids: ['job-2'] }) })).status).toBe(200)
    expect(JSON.parse((await call('/queues/jobs/tasks')).text).tasks.map((task: { phase: string }) => task.phase)).toEqual(['done', 'cancelled'])
  })

  it('say everything that is wrong with a document', async () => {
    const answer = await call('/queues/jobs/tasks', { method: 'POST', body: JSON.stringify({ tasks: [{ id: 'Bad Id', size: { processors: -1, memoryMegabytes: 1 } }] }) })
    expect(answer).toMatchObject({ status: 400, problem: { outcome: 'not-run' } })
    expect(answer.problem.detail).toMatch(/tasks\[0\]\.id.*tasks\[0\]\.size\.processors/)
  })
})
