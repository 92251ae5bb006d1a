// Plays a small deployment with gangs of which a minion crashes once: `node gang-scenario.mjs FOLDER SECONDS RULE`.
// Exits with 1 if the rule was broken, 0 if not, and 2 if the case couldn't run. With TROUBLE=0 no minion crashes.
// LOST: a job has nothing running long after the crash. GANG: runs end `alone` long after the crash, while tasks that last keep each minion in its pool.
import { spawn } from 'node:child_process'
import { randomBytes } from 'node:crypto'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { setTimeout as delay } from 'node:timers/promises'

const [folder, seconds, rule] = process.argv.slice(2)
const isTroubled = process.env.TROUBLE !== '0'

const ZONES = ['a', 'b', 'c']
const QUEUE_HOST = 'queue.example'
const READY_MILLISECONDS = 30_000
const POLL_MILLISECONDS = 500
const SETTLING_MILLISECONDS = 1_000

/** Gangs of three tasks with ten seconds of work; the crash comes after four. */
const MINIONS = 6
const JOBS = 4
const GANG_SIZE = 3
const WORK_MILLISECONDS = 10_000
const CRASH_AFTER_MILLISECONDS = 4_300

/** `finish_s` of the site: jobs are asked for that long after the end of the traffic, and must not have had nothing running for 3 s. Counted from the minion's return. */
const FINISH_MILLISECONDS = 14_000
const NOTHING_RUNNING_MILLISECONDS = 3_000

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
const jobs = []
const activeRuns = new Map()
const starts = []
const aloneAt = []
const seen = { backAt: Infinity, isClosing: false, minions: {} }

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
  if (message.back) seen.backAt = Date.now()
  if (message.started) starts.push(message)
  if (message.how === 'alone') aloneAt.push(Date.now())
  if (message.started) activeRuns.set(message.started, (activeRuns.get(message.started) ?? 0) + 1)
  if (message.ended) activeRuns.set(message.ended, (activeRuns.get(message.ended) ?? 0) - 1)
  if (message.lost) activeRuns.set(message.lost, (activeRuns.get(message.lost) ?? 0) - 1)
  if (message.minionsByPool) seen.minions = Object.fromEntries(message.minionsByPool)
  note(JSON.stringify(message))
}

function startPlatform () {
  const network = `127.${16 + process.pid % 200}`
  const platform = start(process.execPath, ['target/review-2/gang-platform.mjs', network, String(MINIONS), QUEUE_HOST, String(GANG_SIZE), String(WORK_MILLISECONDS), isTroubled ? String(CRASH_AFTER_MILLISECONDS) : '0'])
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

/** Hands in a job with one lasting task a minion, so that the pool keeps all of them. */
async function startKeepers () {
  const body = JSON.stringify({ spec: 'lasting', steps: [{ count: MINIONS, cpu: 1_000, mem_mb: 256, daemon: true, anti_affinity: 1 }] })
  const { status } = await call(nodes[0].host, nodes[0].ports.front, 'POST', `/q/${randomBytes(8).toString('hex')}`, body)
  note('the job with lasting tasks handed in, answer', status)
  await delay(SETTLING_MILLISECONDS)
}

async function play () {
  const addresses = await startPlatform()
  for (const [index, zone] of ZONES.entries()) await startNode(zone, index, addresses)
  for (const node of nodes) await untilReady(node)
  // By then one of them places tasks, and the pool still has all its minions.
  await delay(SETTLING_MILLISECONDS)
  if (rule === 'GANG') await startKeepers()
  const body = JSON.stringify({ spec: 'gang', steps: [{ count: GANG_SIZE, cpu: 4_000, mem_mb: 256, estimate_ms: WORK_MILLISECONDS, gang: true, saves_progress: true, anti_affinity: 1 }] })
  for (let index = 0; index < JOBS; index++) {
    const { host, ports } = nodes[index % nodes.length]
    const id = randomBytes(8).toString('hex')
    const { status } = await call(host, ports.front, 'POST', `/q/${id}`, body)
    note('job', id, 'handed in, answer', status)
    if (status === 200) jobs.push({ id, state: '', idleSince: Date.now(), longestIdle: 0 })
  }
  const until = Date.now() + Number(seconds) * 1000
  while (Date.now() < until && jobs.some(({ state }) => state !== 'completed')) {
    await delay(POLL_MILLISECONDS)
    for (const [index, job] of jobs.entries()) {
      const { host, ports } = nodes[index % nodes.length]
      const answer = await call(host, ports.front, 'GET', `/q/${job.id}`)
      const state = answer.status === 200 ? JSON.parse(answer.body).state : job.state
      if (state !== job.state) note('job', job.id, 'is', state)
      job.state = state
      observe(job)
    }
  }
}

/** Notes for how long a job has had nothing running, from `finish_s` after the minion's return on. */
function observe (job) {
  const now = Date.now()
  const isRunning = [...activeRuns].some(([task, count]) => count > 0 && task.startsWith(job.id))
  if (isRunning || job.state === 'completed') job.idleSince = now
  if (now > seen.backAt + FINISH_MILLISECONDS) job.longestIdle = Math.max(job.longestIdle, now - Math.max(job.idleSince, seen.backAt + FINISH_MILLISECONDS))
}

/** Runs of gangs whose members were started with different checkpoints. */
function mixedRuns () {
  const values = new Map()
  for (const { started, run, checkpoint } of starts) {
    const gang = `${started.split('.').slice(0, 3).join('.')}/${run}`
    values.set(gang, (values.get(gang) ?? new Set()).add(checkpoint))
  }
  return [...values].filter(([, checkpoints]) => checkpoints.size > 1)
}

/** Prints what was seen, and returns the number of breaks of the rule. */
function report () {
  const idle = jobs.filter(({ state, longestIdle }) => state !== 'completed' && longestIdle > NOTHING_RUNNING_MILLISECONDS)
  const lateAlone = aloneAt.filter(at => at > seen.backAt + FINISH_MILLISECONDS)
  const mixed = mixedRuns()
  const summary = [
    `gangs: ${jobs.length} accepted, ${jobs.filter(({ state }) => state === 'completed').length} completed`,
    `with nothing running for more than 3 s, from 14 s after the minion's return on: ${idle.length}`,
    `runs that ended alone: ${aloneAt.length}, of which ${lateAlone.length} more than 14 s after the minion's return`,
    `runs of gangs whose members were started with different checkpoints: ${mixed.length}`,
    ...mixed.slice(0, 3).map(([gang, checkpoints]) => `  ${gang}: ${[...checkpoints].map(value => value || '(none)').join(', ')}`),
    `minions by pool at the end: ${JSON.stringify(seen.minions)}`
  ]
  for (const line of summary) {
    note(line)
    process.stdout.write(`${line}\n`)
  }
  return rule === 'GANG' ? lateAlone.length : idle.length
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
