// Plays a small deployment of which a minion loses power and carries a start out late: `node late-scenario.mjs FOLDER SECONDS`.
// Exits with 1 if the rule was broken, 0 if not, and 2 if the case couldn't run. With TROUBLE=0 nothing is late or lost.
import { spawn } from 'node:child_process'
import { randomBytes } from 'node:crypto'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { setTimeout as delay } from 'node:timers/promises'

const [folder, seconds] = process.argv.slice(2)
const isTroubled = process.env.TROUBLE !== '0'

const ZONES = ['a', 'b', 'c']
const QUEUE_HOST = 'queue.example'
const READY_MILLISECONDS = 30_000
const POLL_MILLISECONDS = 500
const SETTLING_MILLISECONDS = 1_000

/** The start is carried out 5 s late, 50 ms after the minion is back. */
const DELAY_MILLISECONDS = 5_000
const LEAD_MILLISECONDS = 50

/** Limits, bounds and rates of a machine of the site lsla-leave. */
const FIELDS = {
  'limits.cpu_share': 0.675,
  'limits.cores': 1,
  'limits.link_mbps': 1000,
  'limits.memory_mb': 350,
  'limits.max_fds': 4100,
  'cloud.duty_per_s': 64,
  'bounds.hold_max_ms': 6000,
  'bounds.status_s': 120,
  'bounds.lease_ms': 3000,
  'bounds.migrate_s': 1.5,
  'bounds.maintenance_s': 2,
  advice: ''
}

const startedAt = Date.now()
const record = createWriteStream(join(folder, 'record.txt'))
const note = (...words) => record.write(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${words.join(' ')}\n`)
const scratch = mkdtempSync(join(tmpdir(), 'review-'))
const children = new Set()
const nodes = []
const runs = []
const seen = { isClosing: false }

function start (program, words) {
  const child = spawn(program, words, { stdio: ['ignore', 'pipe', 'pipe'], env: {} })
  children.add(child)
  child.on('exit', (code, signal) => {
    children.delete(child)
    if (!seen.isClosing) note('a process ended:', words.at(-1), signal ?? code)
  })
  child.stderr.resume()
  return child
}

async function freePort (host) {
  const server = net.createServer()
  await new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}

async function startNode (zone, index, { store, machines }) {
  const name = `front-${zone}-1`
  const host = `127.0.0.${index + 11}`
  const ports = { front: await freePort(host), readiness: await freePort(host), metrics: await freePort(host) }
  const fields = { ...FIELDS, node: name, zone, ip: host, 'listen.front': `${host}:${ports.front}`, 'listen.readiness': `${host}:${ports.readiness}`, 'platform.address': store, 'cloud.address': machines }
  const settingsPath = join(scratch, `${name}.toml`)
  const settings = readFileSync('deploy/node-settings.toml', 'utf8').replace(/\{\{([^}]+)\}\}/g, (_, field) => String(fields[field] ?? ''))
  // The machines share one address range here, so that the port of the metrics is a free one.
  writeFileSync(settingsPath, settings.replace(`${host}:7001`, `${host}:${ports.metrics}`))
  const [, command] = /^run = "(.+)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))
  const [program, ...words] = command.replace('/etc/samphireglade/local.conf', settingsPath).split(' ')
  start(program === 'node' ? process.execPath : program, words).stdout.resume()
  nodes.push({ name, host, ports })
}

function call (host, port, method, path, body) {
  return new Promise(resolve => {
    const headers = { host: QUEUE_HOST, authorization: 'Bearer key-0', 'deadline-ms': '3000', ...body ? { 'content-type': 'application/json' } : {} }
    const request = http.request({ host, port, method, path, headers, agent: false, timeout: 3_000 }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('error', () => resolve({ status: 0 }))
      response.on('end', () => resolve({ status: response.statusCode, body: Buffer.concat(chunks).toString() }))
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve({ status: 0 }))
    request.end(body)
  })
}

function readPlatform (message) {
  note(JSON.stringify(message))
  if (message.started) runs.push({ task: message.started, run: message.run, worker: message.worker, from: message.at, to: Infinity })
  if (message.ended) for (const run of runs) if (run.task === message.ended && run.run === message.run && run.worker === message.worker) run.to = Math.min(run.to, message.at)
}

function startPlatform () {
  const network = `127.${16 + process.pid % 200}`
  const platform = start(process.execPath, ['target/review-2/late-platform.mjs', network, QUEUE_HOST, isTroubled ? String(DELAY_MILLISECONDS) : '0', String(LEAD_MILLISECONDS)])
  return new Promise((resolve, reject) => {
    platform.once('exit', () => reject(new Error('the platform has ended')))
    createInterface({ input: platform.stdout }).on('line', line => {
      const message = JSON.parse(line)
      if (message.store) resolve(message)
      else readPlatform(message)
    })
  })
}

async function untilReady ({ name, host, ports }) {
  const deadline = Date.now() + READY_MILLISECONDS
  while (Date.now() < deadline) {
    if ((await call(host, ports.readiness, 'GET', '/samphireglade/ready')).status === 200) return
    await delay(POLL_MILLISECONDS)
  }
  throw new Error(`${name} isn't ready`)
}

async function play () {
  const addresses = await startPlatform()
  for (const [index, zone] of ZONES.entries()) await startNode(zone, index, addresses)
  for (const node of nodes) await untilReady(node)
  await delay(SETTLING_MILLISECONDS)
  const body = JSON.stringify({ spec: 'lasting', steps: [{ count: 1, cpu: 1_000, mem_mb: 256, estimate_ms: 900, daemon: true, affinity: 'r0' }] })
  const { status } = await call(nodes[0].host, nodes[0].ports.front, 'POST', `/q/${randomBytes(8).toString('hex')}`, body)
  note('a job with one lasting task handed in, answer', status)
  await delay(Number(seconds) * 1000)
  if (runs.length === 0) throw new Error('the task has not run')
}

/** Prints the runs, and returns for how many milliseconds two of one task were active at the same time. */
function report () {
  let overlap = 0
  for (const [index, run] of runs.entries()) {
    for (const other of runs.slice(0, index)) if (other.task === run.task) overlap = Math.max(overlap, Math.min(run.to, other.to) - Math.max(run.from, other.from))
  }
  const [begin] = runs.map(({ from }) => from).sort()
  for (const line of [
    ...runs.map(({ task, run, worker, from, to }) => `${task} run ${run} on ${worker}: ${from - begin} to ${to === Infinity ? 'the end' : to - begin} ms`),
    `two runs at the same time for ${overlap} ms`
  ]) {
    note(line)
    process.stdout.write(`${line}\n`)
  }
  return overlap
}

async function close () {
  seen.isClosing = true
  for (const child of children) child.kill('SIGKILL')
  while (children.size > 0) await delay(100)
  rmSync(scratch, { recursive: true, force: true })
  await new Promise(resolve => record.end(resolve))
}

for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => close().then(() => process.exit(2)))

let exitCode = 2
try {
  await play()
  exitCode = report() > 0 ? 1 : 0
} catch (error) {
  note('the case could not run:', error.message)
  process.stdout.write(`${error.message}\n`)
}
await close()
process.exit(exitCode)
