/**
 * Tests of the administration interface and the operators' command line over HTTP.
 */
import { afterAll, beforeAll, describe, expect, it, vi } from 'vitest'
import { request } from 'undici'
import { CommandLine } from '../src/command-line/command-line.js'
import { LoopbackFleet } from './support/loopback-fleet.js'

let fleet: LoopbackFleet
let base: string

const TOKEN = 'operator-token-of-the-tests'

beforeAll(async () => {
  fleet = new LoopbackFleet()
  await fleet.start()
  const control = await fleet.addProcess('control', 'a')
  base = `http://127.0.0.1:${control.address.port}`
  await fleet.waitUntil(() => control.tree.keeper.state.members.size === 1, 'joined')
})

afterAll(async () => { await fleet.close() })

async function call (method: string, path: string, body: string | null = null, headers: Record<string, string> = {}) {
  const httpResponse = await request(`${base}/admin/v1${path}`, { method: method as 'GET', body, headers: { authorization: `Bearer ${TOKEN}`, ...headers } })
  return { status: httpResponse.statusCode, etag: httpResponse.headers['etag'], document: await httpResponse.body.json() as { [name: string]: unknown } }
}

/** Runs the operators' command line and returns its exit code. */
async function runCommandLine (...args: string[]): Promise<number> {
  const silenced = [vi.spyOn(console, 'log').mockImplementation(() => {}), vi.spyOn(console, 'error').mockImplementation(() => {})]
  const code = await new CommandLine({ SAMPHIREGLADE_TOKEN: TOKEN }).run(['--server', base, ...args])
  for (const spy of silenced) spy.mockRestore()
  return code
}

describe('the administration interface', () => {
  it('refuses requests without a known token', async () => {
    expect((await call('GET', '/pools', null, { authorization: 'Bearer wrong' })).status).toBe(401)
  })

  it('refuses a document that is not JSON, and reports every error in one that is', async () => {
    expect((await call('PUT', '/pools/p', '{"a":')).status).toBe(400)
    const response = await call('PUT', '/pools/p', JSON.stringify({ slotsPerVirtualMachine: 0, isSpare: 'no', colour: 'red' }))
    expect(response.status).toBe(422)
    expect((response.document['findings'] as { path: string }[]).map(({ path }) => path).sort()).toEqual(['$.colour', '$.isSpare', '$.slotsPerVirtualMachine'])
  })

  it('refuses a change that is based on another version, and makes a change once when its id is repeated', async () => {
    const first = await call('PUT', '/teams/t', JSON.stringify({ share: 1, upperLimit: 1 }), { 'samphireglade-change-id': 'change-1' })
    expect(first.status).toBe(200)
    expect((await call('PUT', '/teams/t', JSON.stringify({ share: 2, upperLimit: 2 }), { 'if-match': '"999"' })).status).toBe(412)
    expect((await call('PUT', '/teams/t', JSON.stringify({ share: 3, upperLimit: 3 }), { 'if-none-match': '*' })).status).toBe(412)
    expect((await call('PUT', '/teams/t', JSON.stringify({ share: 1, upperLimit: 1 }), { 'samphireglade-change-id': 'change-1' })).document).toEqual(first.document)
    expect((await call('GET', '/teams/t')).etag).toBe(first.etag)
  })

  it('distinguishes accepted, refused and unknown changes', async () => {
    expect((await call('GET', '/changes/change-1')).document).toMatchObject({ status: 'accepted' })
    await call('PUT', '/queues/q', JSON.stringify({ pool: 'none' }), { 'samphireglade-change-id': 'change-2' })
    expect((await call('GET', '/changes/change-2')).document).toMatchObject({ status: 'refused' })
    expect((await call('GET', '/changes/never-sent')).document).toMatchObject({ status: 'unknown' })
  })

  it('shows a key once and stores no secret', async () => {
    const grantResponse = await call('POST', '/keys', JSON.stringify({ team: 't' }), { 'samphireglade-change-id': 'grant-1' })
    expect(String(grantResponse.document['key'])).toMatch(/^sgk\./)
    expect((await call('POST', '/keys', JSON.stringify({ team: 't' }), { 'samphireglade-change-id': 'grant-1' })).document['key']).toBeNull()
    const secret = String(grantResponse.document['key']).split('.')[2] ?? ''
    expect(JSON.stringify((await call('GET', '/keys')).document)).not.toContain(secret)
    expect(JSON.stringify(fleet.platform.log.read(1, 1_000))).not.toContain(secret)
  })

  it('serves an OpenAPI document that lists routes of pools, VMs, changes and maintenance', async () => {
    const { document } = await call('GET', '/openapi.json')
    expect(Object.keys(document['paths'] as object)).toEqual(expect.arrayContaining(['/admin/v1/pools/{name}', '/admin/v1/vms/{id}/move', '/admin/v1/changes/{id}', '/admin/v1/maintenance']))
  })
})

describe('the operators\' command line', () => {
  it('returns the documented exit codes', async () => {
    expect(await runCommandLine('get', 'teams')).toBe(0)
    expect(await runCommandLine('no-such-command')).toBe(2)
    expect(await runCommandLine('apply', '/nowhere.toml')).toBe(2)
    expect(await runCommandLine('activate', 'no-such-preset')).toBe(3)
    expect(await runCommandLine('change', 'never-sent', '--wait', '--timeout', '0')).toBe(4)
    const silenced = vi.spyOn(console, 'error').mockImplementation(() => {})
    expect(await new CommandLine({}).run(['--server', 'http://127.0.0.1:1', 'state'])).toBe(1)
    silenced.mockRestore()
  })

  it('applies the example deployment, and keeps the version of a pool when it is applied again', async () => {
    expect(await runCommandLine('apply', 'examples/lone-star.toml', '--json')).toBe(0)
    const { offset } = fleet.processes.get('control-a')?.tree.keeper.state ?? { offset: 0 }
    const version = (await call('GET', '/pools/balances')).etag
    expect(await runCommandLine('apply', 'examples/lone-star.toml', '--json')).toBe(0)
    expect((await call('GET', '/pools/balances')).etag).toBe(version)
    expect(offset).toBeGreaterThan(0)
  })
})
