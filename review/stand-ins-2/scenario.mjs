// Plays a small deployment under misbehaving clients: `node scenario.mjs FOLDER KIND CONNECTIONS SECONDS`.
// Exits with 1 if processes ended by themselves as the rule "Fault" says, 0 if not, and 2 if the case couldn't run. With TROUBLE=0 there are only ordinary clients.
import { spawn } from 'node:child_process'
import { randomBytes } from 'node:crypto'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { setTimeout as delay } from 'node:timers/promises'

const [folder, kind, connectionCount, seconds] = process.argv.slice(2)
const isTroubled = process.env.TROUBLE !== '0'

/** Machines: one a zone. The crowds act on as many of them as the rule asks for. */
const ZONES = ['a', 'b', 'c']
const ATTACKED = 2
const PROCESS_ENDS = 3

/** Limits of a machine of the site lsla-leave, and the bounds and rates that a process there finds in its settings. */
const MEMORY_MEGABYTES = 350
const FIELDS = {
  'limits.cpu_share': 0.675,
  'limits.cores': 1,
  'limits.link_mbps': 1000,
  'limits.memory_mb': MEMORY_MEGABYTES,
  'limits.max_fds': 4100,
  'cloud.duty_per_s': 64,
  'bounds.hold_max_ms': 6000,
  'bounds.status_s': 120,
  'bounds.lease_ms': 3000,
  'bounds.migrate_s': 1.5,
  'bounds.maintenance_s': 2,
  advice: ''
}

/** A process that gives no answer for so long, while it runs, hangs: twenty readiness checks in a row, of which the platform allows one to be missed. */
const HANG_MILLISECONDS = 20_000

const PROBE_MILLISECONDS = 1_000
const SILENCE_NOTE_MILLISECONDS = 3_000
const READY_MILLISECONDS = 30_000
const SAMPLE_MILLISECONDS = 100
const RESTART_MILLISECONDS = 1_000
const JOB_INTERVAL_MILLISECONDS = 500
const RETRY_MILLISECONDS = 200
const TAIL_MILLISECONDS = 20_000
const QUEUE_HOST = 'queue.example'

const startedAt = Date.now()
const record = createWriteStream(join(folder, 'record.txt'))
const note = (...words) => record.write(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${words.join(' ')}\n`)
const scratch = mkdtempSync(join(tmpdir(), 'review-'))
const children = new Set()
const nodes = []
const ends = new Map()
const runs = new Map()
const jobs = []
const run = { isOver: false }

function start (command, words, options = {}) {
  const child = spawn(command, words, { stdio: ['ignore', 'pipe', 'pipe'], env: {}, ...options })
  children.add(child)
  child.on('exit', () => children.delete(child))
  child.stderr?.resume()
  return child
}

async function freePort (host) {
  const server = net.createServer()
  await new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}

/** Fills the template of the deploy file for a process. */
function settingsOf (fields) {
  return readFileSync('deploy/node-settings.toml', 'utf8').replace(/\{\{([^}]+)\}\}/g, (_, name) => String(fields[name] ?? ''))
}

function startNode (node) {
  const [, command] = /^run = "(.+)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))
  const [program, ...words] = command.replace('/etc/samphireglade/local.conf', node.settingsPath).split(' ')
  const child = start(program === 'node' ? process.execPath : program, words)
  node.child = child
  node.memory = 0
  child.stdout.resume()
  note('process', node.name, 'starts, id', child.pid)
  child.on('exit', (code, signal) => {
    node.child = null
    if (run.isOver) return
    ends.set(node.name, (ends.get(node.name) ?? 0) + 1)
    note('process', node.name, 'ended by itself with', signal ?? code, `after ${node.memory} MB resident at most`)
    node.answeredAt = Infinity
    setTimeout(() => { if (!run.isOver) startNode(node) }, RESTART_MILLISECONDS)
  })
}

function residentMegabytes (node) {
  try {
    return Math.round(Number(/^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${node.child.pid}/status`, 'utf8'))[1]) / 1024)
  } catch {
    return 0
  }
}

function call (node, method, path, body) {
  return new Promise(resolve => {
    const headers = { host: QUEUE_HOST, authorization: 'Bearer key-0', 'deadline-ms': '3000', ...body ? { 'content-type': 'application/json' } : {} }
    const request = http.request({ host: node.host, port: node.ports.front, method, path, headers, agent: false, timeout: 3_000 }, response => {
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

/** Hands in a job, at one process after the other until it is accepted, and asks for its state until it is completed. */
async function runJob (index) {
  const job = { id: randomBytes(8).toString('hex'), acceptedAt: 0, completedAt: 0 }
  jobs.push(job)
  const body = JSON.stringify({ spec: `job ${index}`, steps: [{ count: 2, cpu: 1_000, mem_mb: 256, estimate_ms: 600 }] })
  for (let attempt = index; !run.isOver; attempt++) {
    const node = nodes[attempt % nodes.length]
    const { status } = await call(node, 'POST', `/q/${job.id}`, body)
    note('job', job.id, 'handed in at', node.name, 'answer', status)
    if (status === 200) break
    await delay(RETRY_MILLISECONDS)
  }
  job.acceptedAt = Date.now()
  for (let attempt = index; !run.isOver; attempt++) {
    await delay(JOB_INTERVAL_MILLISECONDS)
    const { status, body: state = '' } = await call(nodes[attempt % nodes.length], 'GET', `/q/${job.id}`)
    if (status !== 200 || !state.includes('completed')) continue
    job.completedAt = Date.now()
    note('job', job.id, 'completed')
    return
  }
}

/** Status of the answer to a readiness check, or 0 if there is none within a second. */
function readiness (node) {
  return new Promise(resolve => {
    http.get({ host: node.host, port: node.ports.readiness, path: '/samphireglade/ready', agent: false, timeout: PROBE_MILLISECONDS }, response => { response.resume(); resolve(response.statusCode) })
      .on('timeout', function () { this.destroy() }).on('error', () => resolve(0))
  })
}

async function untilReady (node) {
  const deadline = Date.now() + READY_MILLISECONDS
  while (Date.now() < deadline) {
    const status = await readiness(node)
    if (status === 200) {
      node.readyAt = Date.now()
      node.answeredAt = node.readyAt
      return
    }
    await delay(SAMPLE_MILLISECONDS)
  }
  throw new Error(`${node.name} isn't ready`)
}

/** Asks whether the process is ready, as the platform does, and notes for how long it has given no answer of any kind. */
async function probe (node) {
  while (!run.isOver) {
    const sentAt = Date.now()
    const status = await readiness(node)
    if (status !== 0) {
      const silence = Date.now() - Math.max(node.answeredAt, node.readyAt)
      if (node.answeredAt < Infinity && silence > SILENCE_NOTE_MILLISECONDS) note('process', node.name, 'had not answered at its readiness address for', silence, 'ms')
      node.answeredAt = Date.now()
    } else if (node.child && node.answeredAt < Infinity) node.silence = Math.max(node.silence, Date.now() - node.answeredAt)
    await delay(Math.max(0, sentAt + PROBE_MILLISECONDS - Date.now()))
  }
}

async function startPlatform () {
  const network = `127.${16 + process.pid % 200}`
  const platform = start(process.execPath, ['target/review-2/platform.mjs', network, '6', 'work', QUEUE_HOST])
  return new Promise((resolve, reject) => {
    platform.once('exit', () => reject(new Error('the platform has ended')))
    createInterface({ input: platform.stdout }).on('line', line => {
      const message = JSON.parse(line)
      if (message.store) return resolve(message)
      if (message.started) runs.set(message.started, (runs.get(message.started) ?? 0) + 1)
      note(message.started ? `run ${message.started}/${message.run} started on ${message.worker}` : `run ${message.ended}/${message.run} ended ${message.how} on ${message.worker}`)
    })
  })
}

async function play () {
  const { store, machines } = await startPlatform()
  for (const [index, zone] of ZONES.entries()) {
    const name = `front-${zone}-1`
    const host = `127.0.0.${index + 11}`
    const ports = { front: await freePort(host), readiness: await freePort(host), metrics: await freePort(host) }
    const node = { name, host, ports, settingsPath: join(scratch, `${name}.toml`), child: null, memory: 0, readyAt: 0, answeredAt: Infinity, silence: 0 }
    const fields = { ...FIELDS, node: name, zone, ip: host, 'listen.front': `${host}:${ports.front}`, 'listen.readiness': `${host}:${ports.readiness}`, 'platform.address': store, 'cloud.address': machines }
    // The machines share one address range here, so that the port of the metrics is a free one.
    writeFileSync(node.settingsPath, settingsOf(fields).replace(`${host}:7001`, `${host}:${ports.metrics}`))
    nodes.push(node)
    startNode(node)
  }
  for (const node of nodes) await untilReady(node)
  note('all processes are ready')
  const sampling = setInterval(() => { for (const node of nodes) node.memory = Math.max(node.memory, residentMegabytes(node)) }, SAMPLE_MILLISECONDS)
  const crowds = isTroubled ? nodes.slice(0, ATTACKED).map(node => start(process.execPath, ['review/stand-ins-2/crowd.mjs', kind, node.host, String(node.ports.front), connectionCount, QUEUE_HOST])) : []
  for (const [index, crowd] of crowds.entries()) createInterface({ input: crowd.stdout }).on('line', line => note(`crowd at ${nodes[index].name}`, line))
  const until = Date.now() + Number(seconds) * 1000
  const probes = nodes.map(node => probe(node))
  const pending = []
  for (let index = 0; Date.now() < until && !haveEnded(); index++) {
    pending.push(runJob(index))
    await delay(JOB_INTERVAL_MILLISECONDS)
  }
  for (const crowd of crowds) crowd.kill('SIGKILL')
  note('the misbehaving clients have left')
  await Promise.race([Promise.all(pending), delay(TAIL_MILLISECONDS)])
  clearInterval(sampling)
  run.isOver = true
  await Promise.all(probes)
  report()
}

/** As the rule says: on a tenth of the machines in use, two at least, processes end by themselves three times. */
function haveEnded () {
  return [...ends.values()].filter(count => count >= PROCESS_ENDS).length >= ATTACKED
}

/** Whether processes have ended, have hung, or are over the memory of their machine, which would end them. */
function isBroken () {
  return haveEnded() || nodes.some(({ silence, memory }) => silence >= HANG_MILLISECONDS || memory > MEMORY_MEGABYTES)
}

function report () {
  const accepted = jobs.filter(({ acceptedAt }) => acceptedAt > 0)
  const completed = jobs.filter(({ completedAt }) => completedAt > 0)
  const summary = [
    `ends of processes by themselves: ${[...ends].map(([name, count]) => `${name} ${count}`).join(', ') || 'none'}`,
    `most resident memory: ${nodes.map(({ name, memory }) => `${name} ${memory} MB`).join(', ')}`,
    `longest time without an answer at the readiness address: ${nodes.map(({ name, silence }) => `${name} ${silence} ms`).join(', ')}`,
    `ordinary jobs: ${jobs.length} handed in, ${accepted.length} accepted, ${completed.length} completed; ${runs.size} tasks run, ${[...runs.values()].filter(count => count > 1).length} more than once`
  ]
  for (const line of summary) {
    note(line)
    process.stdout.write(`${line}\n`)
  }
}

async function close () {
  run.isOver = true
  for (const child of children) child.kill('SIGKILL')
  while (children.size > 0) await delay(SAMPLE_MILLISECONDS)
  rmSync(scratch, { recursive: true, force: true })
  await new Promise(resolve => record.end(resolve))
}

for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => close().then(() => process.exit(2)))

let exitCode = 2
try {
  await play()
  exitCode = isBroken() ? 1 : 0
} catch (error) {
  note('the case could not run:', error.message)
  process.stdout.write(`${error.message}\n`)
}
await close()
process.exit(exitCode)
