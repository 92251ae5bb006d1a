/**
 * A small deployment on loopback: the project's processes as the deploy file starts them, the platform's stand-ins, and a client.
 */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, createServer, request as sendRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Journal } from './journal.mjs'
import { Minion } from './minion.mjs'
import { Store } from './store.mjs'

const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), '../..')
const ZONES = ['austin', 'waco', 'san-marcos']
const PORTS = { front: 8340, readiness: 8343 }
const READY_TIMEOUT_MS = 20_000
const POLL_MS = 50
const GRACE_MS = 6_000

/** A case ends within 120 s, the end of its processes included. */
const LIMIT_MS = 110_000
const BROKEN = 1
const COULD_NOT_RUN = 2

/** Figures of the sheet of lsla-leave. */
const SETTINGS = {
  'limits.cpu_share': '0.675',
  'limits.cores': '1',
  'limits.link_mbps': '1000.0',
  'cloud.duty_per_s': '64.0',
  'bounds.hold_max_ms': '6000',
  'bounds.status_s': '120',
  'bounds.lease_ms': '3000',
  'bounds.migrate_s': '1.5',
  'bounds.maintenance_s': '2'
}

export const sleep = milliseconds => new Promise(resolve => { setTimeout(resolve, milliseconds) })

/** Processes, minions, store and client of one case. */
export class Site {
  store = new Store()
  minions = []
  nodes = []
  hasTrouble = process.env.TROUBLE !== '0'
  host = 'lone-star.example'
  key = 'key-of-the-tenant'
  #recordPath
  #startedAt = Date.now()
  #folder = mkdtempSync(join(tmpdir(), 'review-'))
  #servers = []
  #network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
  #agents = new Map()
  #version = 0
  #isClosed = false

  /** @param folder folder of the case, for its record. */
  constructor (folder) {
    this.#recordPath = join(folder, 'record.txt')
    writeFileSync(this.#recordPath, '')
    this.journal = new Journal(line => this.record(line))
  }

  /** Writes a line to the record. */
  record (line) {
    appendFileSync(this.#recordPath, `${String(Date.now() - this.#startedAt).padStart(6)} ms  ${line}\n`)
  }

  /** Publishes a configuration with the given queues: name, prefix and service, and more fields of a route. */
  configure (queues, services = ['balances'], tenant = {}) {
    this.#version += 7
    const routes = queues.map(queue => ({ host: this.host, service: 'balances', max_attempts: 4, stretch: 1.6, target_latency_ms: 600, timeout_ms: 3_000, ...queue }))
    this.store.put('keyed.op', 'config', {
      version: this.#version, routes, services: services.map(name => ({ name, rejects_overload: true })), tenants: [{ name: 'tenant-1', api_keys: [this.key], weight: 10, ...tenant }], limits: { max_body_bytes: 262_144 }
    })
    this.record(`operator writes configuration ${this.#version}: queues ${queues.map(({ name }) => name).join(', ')}`)
  }

  async addMinion (options) {
    const minion = new Minion({ service: 'balances', capacity: { cpu: 64_000, mem_mb: 131_072 }, rack: 'r1', zone: ZONES[this.minions.length % ZONES.length], ...options }, this.store, this.journal, Number(SETTINGS['bounds.hold_max_ms']))
    await minion.start()
    this.minions.push(minion)
    this.record(`minion ${minion.id} is up at ${minion.address}`)
    return minion
  }

  /** Starts processes and waits until they are ready. */
  async startNodes (count = ZONES.length) {
    const machines = await this.#serve('machines', () => this.#listMachines())
    for (let index = 0; index < count; index++) {
      const name = `front-${ZONES[index % ZONES.length]}-${index + 1}`
      const store = await this.#serve(name, (caller, url, body) => this.store.handle(caller, url, body))
      const node = { name, zone: ZONES[index % ZONES.length], ip: `${this.#network}.${index + 1}`, store, machines, child: null }
      this.nodes.push(node)
      this.startNode(node)
    }
    for (const node of this.nodes) await this.untilReady(node)
  }

  /** Starts a process with the command of the deploy file. */
  startNode (node) {
    if (this.#isClosed) return
    const settingsPath = join(this.#folder, `${node.name}.toml`)
    writeFileSync(settingsPath, this.#settings(node))
    const command = /^run = "(.*)"$/m.exec(readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8'))[1].replace('/etc/samphireglade/local.conf', settingsPath)
    const [program, ...parameters] = command.split(' ')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, parameters, { cwd: REPOSITORY, stdio: ['ignore', 'pipe', 'pipe'], env: { PATH, HOME, LANG } })
    const logPath = join(this.#folder, `${node.name}.log`)
    for (const stream of [child.stdout, child.stderr]) stream.on('data', bytes => appendFileSync(logPath, bytes))
    child.on('exit', (code, signal) => {
      this.record(`process ${node.name} has ended (${code ?? signal})`)
      if (node.child === child) node.child = null
    })
    node.child = child
    this.record(`process ${node.name} is started`)
  }

  signal (node, name) {
    this.record(`process ${node.name} gets ${name}`)
    node.child?.kill(name)
  }

  /** Stops a process as the platform does, and starts it again. */
  async restart (node) {
    const { child } = node
    this.signal(node, 'SIGTERM')
    const deadline = Date.now() + GRACE_MS
    while (child.exitCode === null && child.signalCode === null && Date.now() < deadline) await sleep(POLL_MS)
    child.kill('SIGKILL')
    while (node.child === child) await sleep(POLL_MS)
    this.startNode(node)
    await this.untilReady(node)
  }

  /** The process that last wrote to the store under a condition. */
  get leader () {
    return this.nodes.find(({ name }) => name === this.store.lastConditionalWriter)
  }

  async untilReady (node) {
    const deadline = Date.now() + READY_TIMEOUT_MS
    while (Date.now() < deadline) {
      const { status } = await this.#request({ host: node.ip, port: PORTS.readiness, path: '/samphireglade/ready', method: 'GET', timeout: 1_000 })
      if (status === 200) return
      await sleep(POLL_MS)
    }
    throw new Error(`${node.name} isn't ready in time`)
  }

  /** Sends a client's call to a process. */
  async call (node, method, path, body, { deadlineMs = 3_000, isSilent = false } = {}) {
    const headers = { host: this.host, authorization: `Bearer ${this.key}`, 'deadline-ms': String(deadlineMs), ...(body ? { 'content-type': 'application/json' } : {}) }
    const agent = this.#agents.get(node) ?? new Agent({ keepAlive: true })
    this.#agents.set(node, agent)
    const result = await this.#request({ host: node.ip, port: PORTS.front, path, method, headers, agent, timeout: deadlineMs }, body ? JSON.stringify(body) : undefined)
    if (!isSilent) this.record(`client: ${method} ${path} to ${node.name} -> ${result.status === 0 ? 'no answer' : result.status} ${result.text.slice(0, 100)}`)
    return result
  }

  /** Hands a job in, with up to four retries at other processes; returns whether it was accepted. */
  async submit (path, job, options) {
    for (let attempt = 0; attempt < 5; attempt++) {
      const { status } = await this.call(this.nodes[attempt % this.nodes.length], 'POST', path, job, options)
      if (status >= 200 && status < 300) return true
      await sleep(200)
    }
    return false
  }

  /** Ends everything that this case has started. */
  async close () {
    this.#isClosed = true
    for (const agent of this.#agents.values()) agent.destroy()
    for (const { child } of this.nodes) child?.kill('SIGCONT')
    for (const { child } of this.nodes) child?.kill('SIGKILL')
    const deadline = Date.now() + GRACE_MS
    while (this.nodes.some(({ child }) => child !== null) && Date.now() < deadline) await sleep(POLL_MS)
    for (const minion of this.minions) if (!minion.isDown) minion.crash()
    for (const server of this.#servers) {
      server.closeAllConnections()
      server.close()
    }
    if (process.env.KEEP !== '1') rmSync(this.#folder, { recursive: true, force: true })
    else process.stdout.write(`${this.#folder}\n`)
  }

  #listMachines () {
    const machines = this.minions.filter(({ isDown }) => !isDown).map(({ id, options }) => ({
      machine: `machine-${id}`, pool: options.service, state: 'up', zone: options.zone, labels: [options.label ?? 'a', options.rack], capacity: options.capacity, id
    }))
    return { status: 200, body: { machines, next_page_token: '' } }
  }

  #settings (node) {
    const fields = {
      ...SETTINGS, node: node.name, zone: node.zone, ip: node.ip, 'listen.front': `${node.ip}:${PORTS.front}`, 'listen.readiness': `${node.ip}:${PORTS.readiness}`, 'platform.address': node.store, 'cloud.address': node.machines, advice: ''
    }
    const template = readFileSync(join(REPOSITORY, 'deploy/node-settings.toml'), 'utf8')
    return template.replace(/\{\{([a-z_.]+)\}\}/g, (_, name) => fields[name] ?? '')
  }

  /** Serves calls of one process on a free loopback port. */
  async #serve (caller, handle) {
    const server = createServer((request, response) => {
      const respond = async () => {
        const chunks = []
        for await (const chunk of request) chunks.push(chunk)
        const result = await handle(caller, new URL(request.url, 'http://platform'), Buffer.concat(chunks))
        // A connection whose response is lost returns nothing further.
        if (result === null) return
        response.statusCode = result.status
        response.end(Buffer.isBuffer(result.body) ? result.body : JSON.stringify(result.body))
      }
      respond().catch(() => response.destroy())
    })
    server.keepAliveTimeout = 0
    this.#servers.push(server)
    await new Promise(resolve => { server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${server.address().port}`
  }

  #request ({ timeout, ...options }, body) {
    return new Promise(resolve => {
      const request = sendRequest(options, response => {
        const chunks = []
        response.on('data', chunk => chunks.push(chunk))
        response.on('error', () => resolve({ status: 0, text: '', body: {} }))
        response.on('end', () => {
          clearTimeout(timer)
          const text = Buffer.concat(chunks).toString()
          resolve({ status: response.statusCode, text, body: parse(text) })
        })
      })
      const timer = setTimeout(() => request.destroy(new Error('no answer in time')), timeout)
      request.on('error', () => {
        clearTimeout(timer)
        resolve({ status: 0, text: '', body: {} })
      })
      request.end(body)
    })
  }
}

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 *
 * @param folder folder of the case.
 * @param play plays the case and returns the findings, each a line; throws if it couldn't run.
 */
export async function runCase (folder, play) {
  const site = new Site(folder)
  let code = 0
  try {
    const overdue = sleep(LIMIT_MS).then(() => { throw new Error(`not over after ${LIMIT_MS} ms`) })
    const findings = await Promise.race([play(site), overdue])
    for (const finding of findings.slice(0, 10)) site.record(`BROKEN: ${finding}`)
    if (findings.length > 0) code = BROKEN
    site.record(`${findings.length} findings`)
    process.stdout.write(`${findings.length} findings${findings.length > 0 ? `; first: ${findings[0]}` : ''}\n`)
  } catch (error) {
    site.record(`could not run: ${error.stack}`)
    process.stderr.write(`could not run: ${error.message}\n`)
    code = COULD_NOT_RUN
  } finally {
    await site.close()
  }
  process.exit(code)
}

function parse (text) {
  try {
    return JSON.parse(text)
  } catch {
    return {}
  }
}
