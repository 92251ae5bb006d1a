/**
 * Whole processes of the system inside the test, over loopback, against the stand-ins.
 */
import { createHash } from 'node:crypto'
import { once } from 'node:events'
import { createServer, type AddressInfo } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { createLogger, transports } from 'winston'
import { AdministrationClient } from '../../src/command-line/administration-client.js'
import { HttpEndpointProber } from '../../src/endpoints/http-endpoint-prober.js'
import type { EntryPolicies } from '../../src/main/entry-policies.js'
import { ProcessTree } from '../../src/main/process-tree.js'
import { MemoryMetrics } from '../../src/observability/memory-metrics.js'
import { HttpPlatformClient } from '../../src/plain-platform/http-platform-client.js'
import { HttpPlatformLog } from '../../src/plain-platform/http-platform-log.js'
import { HttpVirtualMachineControl } from '../../src/plain-platform/http-virtual-machine-control.js'
import { HttpWorkerControl } from '../../src/plain-platform/http-worker-control.js'
import type { SocketAddress } from '../../src/schemas/socket-address.js'
import { ControlSettings } from '../../src/settings/control-settings.js'
import { EntrySettings } from '../../src/settings/entry-settings.js'
import { RandomIdentifierSource } from '../../src/supervision/random-identifier-source.js'
import { SeededRandomSource } from '../../src/supervision/seeded-random-source.js'
import type { Supervisor } from '../../src/supervision/supervisor.js'
import { SystemClock } from '../../src/supervision/system-clock.js'
import { EndpointServer } from '../../stand-ins/endpoint-server.js'
import { PlatformServer } from '../../stand-ins/platform-server.js'

/** Longest wait for something that must happen, in milliseconds; no bound on how fast it happens. */
const PATIENCE_MILLISECONDS = 20_000

/** Operators' token in tests. */
const TOKEN = 'operator-token-of-the-tests'

/** Secret of the test fleet. */
const SECRET = 'a secret for the tests, long enough'

/** One running process. */
interface WireProcess {
  readonly name: string
  readonly tree: ProcessTree
  readonly metrics: MemoryMetrics
  /** Where callers or operators connect. */
  readonly address: SocketAddress
  readonly peerAddress: SocketAddress
  /** Platform address that the process uses; a test can put a broken one in. */
  stop: () => Promise<void>
}

/** Starts and stops processes and stand-ins, and makes changes as an operator. */
export class LoopbackFleet {
  readonly platform = new PlatformServer()
  readonly endpoints = new Map<string, EndpointServer>()
  readonly addresses = new Map<string, SocketAddress>()
  readonly processes = new Map<string, WireProcess>()
  private _platformPort = 0
  private readonly _seeds: SocketAddress[] = []

  /** Client of the first control process. */
  get client (): AdministrationClient {
    const controls = [...this.processes.values()].filter(({ name }) => name.startsWith('control'))
    return new AdministrationClient(controls.map(({ address }) => `http://${address.host}:${address.port}`), TOKEN)
  }

  /** Starts the platform's stand-in. */
  async start (): Promise<void> {
    this._platformPort = await this.platform.listen('127.0.0.1', 0)
  }

  /** Starts an endpoint; it still has to be registered. */
  async addEndpoint (virtualMachine: string, pool: string, workMilliseconds = 1, slots = 8): Promise<EndpointServer> {
    const random = new SeededRandomSource(this.endpoints.size + 1)
    const endpoint = new EndpointServer({ virtualMachine, pool, slots, maximumConnections: 64, workMilliseconds, random })
    const address = { host: '127.0.0.1', port: await endpoint.listen('127.0.0.1', 0) }
    this.endpoints.set(virtualMachine, endpoint)
    this.addresses.set(virtualMachine, address)
    this.platform.addVirtualMachine(virtualMachine, address)
    return endpoint
  }

  /** Starts an entry or control process in a zone. */
  async addProcess (role: 'entry' | 'control', zone: string, options: { platformPort?: number, secret?: string, id?: string, policies?: EntryPolicies } = {}): Promise<WireProcess> {
    const name = options.id ?? `${role}-${zone}`
    const address = { host: '127.0.0.1', port: await freePort() }
    const peerAddress = { host: '127.0.0.1', port: await freePort() }
    const metrics = new MemoryMetrics()
    const caller = new HttpPlatformClient({ host: '127.0.0.1', port: options.platformPort ?? this._platformPort })
    const tree = new ProcessTree({
      clock: new SystemClock(),
      random: new SeededRandomSource(this.processes.size + 1),
      identifiers: new RandomIdentifierSource(),
      logger: createLogger({ silent: true, transports: [new transports.Console()] }),
      metrics,
      platformLog: new HttpPlatformLog(caller),
      virtualMachineControl: new HttpVirtualMachineControl(caller),
      workerControl: new HttpWorkerControl(caller),
      prober: new HttpEndpointProber(),
      ...(options.policies ? { policies: options.policies } : {}),
      requestStop: () => {}
    })
    const common = {
      process: { id: name, host: `entry-vm-${zone}`, availabilityZone: zone },
      platform: { address: { host: '127.0.0.1', port: this._platformPort } },
      peers: { address: peerAddress, seeds: [...this._seeds], secret: options.secret ?? SECRET }
    }
    const root = role === 'entry'
      ? tree.buildEntry(EntrySettings.parse({ ...common, callers: { address }, stop: { readinessGraceMilliseconds: 0 } }))
      : tree.buildControl(ControlSettings.parse({ ...common, administration: { address, operators: [{ name: 'tests', tokenSha256: createHash('sha256').update(TOKEN).digest('hex') }] } }))
    this._seeds.push(peerAddress)
    this.platform.addVirtualMachine(`entry-vm-${zone}`, null)
    const process = { name, tree, metrics, address, peerAddress, stop: this._run(name, root, caller) }
    this.processes.set(name, process)
    return process
  }

  /** Makes a change that must be accepted and waits until it is in force everywhere. */
  async change (method: 'PUT' | 'POST' | 'DELETE', path: string, document?: object): Promise<Record<string, unknown>> {
    const result = await this.client.call({ method, path, ...(document ? { document } : {}) })
    if (result.isLeft()) throw result.extract()
    const answer = result.extract() as Record<string, unknown>
    await this.waitUntil(async () => {
      const change = await this.client.call({ method: 'GET', path: `/changes/${String(answer['changeId'])}` })
      return change.map(({ isInForceEverywhere }) => isInForceEverywhere === true).orDefault(false)
    }, `${method} ${path} in force`)
    return answer
  }

  /** Registers a pool with its endpoints, a queue of the same name for it and a team with a key, and returns the key. */
  async deploy (pool: string, team: string, upperLimit: number, queue: object = {}): Promise<string> {
    await this.change('PUT', `/pools/${pool}`, { slowStartMilliseconds: 0 })
    for (const [id, endpoint] of this.endpoints) {
      if (endpoint.pool !== pool) continue
      await this.change('PUT', `/vms/${id}`, { pool, availabilityZone: id.split('-')[0], rack: 'rack', address: this.addresses.get(id) })
    }
    await this.change('PUT', `/queues/${pool}`, { pool, defaultTimeoutMilliseconds: 15_000, maximumTimeoutMilliseconds: 15_000, ...queue })
    await this.change('PUT', `/teams/${team}`, { share: 1, upperLimit })
    return String((await this.change('POST', '/keys', { team }))['key'])
  }

  /** Waits for something that must happen. */
  async waitUntil (condition: () => Promise<boolean> | boolean, what: string): Promise<void> {
    const deadline = Date.now() + PATIENCE_MILLISECONDS
    while (!await condition()) {
      if (Date.now() > deadline) throw new Error(`never happened: ${what}`)
      await delay(10)
    }
  }

  /** Ends everything. */
  async close (): Promise<void> {
    await Promise.all([...this.processes.values()].map(process => process.stop()))
    await Promise.all([...this.endpoints.values()].map(endpoint => endpoint.close()))
    await this.platform.close()
  }

  private _run (name: string, root: Supervisor, caller: HttpPlatformClient): () => Promise<void> {
    const stop = new AbortController()
    const ended = root.run(stop.signal)
    return async () => {
      this.processes.delete(name)
      stop.abort()
      await ended
      await caller.close()
    }
  }
}

/** A port that is free now. */
async function freePort (): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return port
}
