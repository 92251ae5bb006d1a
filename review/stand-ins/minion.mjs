/**
 * Stand-in of a minion: runs tasks under a lease and reports what has ended until it is acknowledged.
 */
import { createServer } from 'node:http'

/** Reading of a minion's clock at its start, in milliseconds. */
const FIRST_CLOCK_MS = 1_000

/** Maximum number of ends in one response. */
const ENDS_PER_RESPONSE = 500

const HEARTBEAT_MS = 1_500
const LEASE_CHECK_MS = 10
const LOOPBACK = '127.0.0.1'

/** A minion with a server of its own on a loopback port. */
export class Minion {
  /** What runs, by task and run. */
  running = new Map()
  ended = []
  /** Whether the minion lets no call through. */
  isCut = false
  isDown = false
  address = ''
  #server = null
  #timers = []
  #highestRuns = new Map()
  #fence = 0
  #leaseUntil = 0
  #lastEnd = 0
  #sequence = 0
  #wakers = new Set()
  #healed = new Set()
  #registered = new Set()

  /**
   * @param options `id`, `service`, `zone`, `rack`, `capacity` and `outcome`, which returns how long a run takes (`ms`) and how it ends (`how`).
   * @param store the store that the minion registers in.
   * @param journal records of all starts and ends.
   * @param holdMaxMs longest lease.
   */
  constructor (options, store, journal, holdMaxMs) {
    this.options = { ...options }
    this.store = store
    this.journal = journal
    this.holdMaxMs = holdMaxMs
    this.born = Date.now()
  }

  get id () {
    return this.options.id
  }

  get clock () {
    return Math.round(Date.now() - this.born + FIRST_CLOCK_MS)
  }

  /** Thousandths of a core that no run uses. */
  get freeCpu () {
    return this.options.capacity.cpu - [...this.running.values()].reduce((sum, { cpu }) => sum + cpu, 0)
  }

  async start () {
    this.#server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
    this.#server.keepAliveTimeout = 0
    await new Promise(resolve => { this.#server.listen(0, LOOPBACK, resolve) })
    this.address = `${LOOPBACK}:${this.#server.address().port}`
    this.#register()
    this.#timers = [setInterval(() => this.#register(), HEARTBEAT_MS), setInterval(() => this.#checkLease(), LEASE_CHECK_MS)]
  }

  /** Ends the minion and all its runs without notice; its entry stays as it was. */
  crash () {
    this.isDown = true
    for (const timer of this.#timers) clearInterval(timer)
    for (const run of this.running.values()) {
      clearTimeout(run.timer)
      this.journal.ended(this, run, 'crashed', 0)
    }
    this.running.clear()
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** Changes what the minion says of itself; its next entry shows it. */
  resize (capacity) {
    this.options.capacity = capacity
  }

  /** Resolves right after the minion has written its entry. */
  untilRegistered () {
    return new Promise(resolve => { this.#registered.add(resolve) })
  }

  cut () {
    this.isCut = true
  }

  heal () {
    this.isCut = false
    for (const resolve of this.#healed) resolve()
    this.#healed.clear()
  }

  #register () {
    if (this.isCut) return
    const { service, zone, rack, capacity, label = 'a' } = this.options
    this.#sequence += 1
    this.store.put('keyed.servers', this.id, {
      service, address: this.address, zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, seq: this.#sequence, born: this.born, capacity, labels: [label, rack]
    })
    for (const resolve of this.#registered) resolve()
    this.#registered.clear()
  }

  /** Waits until the link works; returns whether the connection is still there. */
  async #passes (socket) {
    while (this.isCut) await new Promise(resolve => { this.#healed.add(resolve) })
    return !socket.destroyed
  }

  async #serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    if (!await this.#passes(request.socket) || this.isDown) return
    const { status, body } = request.headers['expect-instance'] === this.id
      ? await this.#handle(request.url.split('/').pop(), JSON.parse(Buffer.concat(chunks).toString()))
      : { status: 421, body: {} }
    if (!await this.#passes(request.socket) || this.isDown) return
    response.statusCode = status
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify({ clock_ms: this.clock, ...body }))
  }

  async #handle (call, body) {
    if ((body.fencing_token ?? 0) < this.#fence) return { status: 409, body: { reason: 'fence' } }
    this.#fence = body.fencing_token ?? 0
    if (call === 'run-start') return this.#startRun(body)
    if (call === 'run-stop') return this.#stopRun(body)
    if (call === 'hold') return this.#hold(body)
    return { status: call === 'pace' ? 200 : 404, body: {} }
  }

  #extendLease (deadline) {
    if (deadline !== undefined) this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(deadline, this.clock + this.holdMaxMs))
  }

  #startRun ({ task, run, spec, deadline_ms: deadline, last_checkpoint: checkpoint = '' }) {
    if (this.running.has(`${task} ${run}`)) return { status: 200, body: {} }
    if (run <= (this.#highestRuns.get(task) ?? 0)) {
      this.#extendLease(deadline)
      return { status: 409, body: { reason: 'old' } }
    }
    if (deadline <= this.clock) return { status: 409, body: { reason: 'late' } }
    this.#extendLease(deadline)
    const { ms, how, cpu } = this.options.outcome(task, run)
    if (cpu > this.freeCpu) return { status: 409, body: { reason: 'room' } }
    this.#highestRuns.set(task, run)
    const entry = { task, run, cpu, percent: 100, timer: ms === Infinity ? undefined : setTimeout(() => this.#end(task, run, how), ms) }
    this.running.set(`${task} ${run}`, entry)
    this.journal.started(this, task, run, spec, checkpoint)
    return { status: 200, body: {} }
  }

  #stopRun ({ task, run }) {
    this.#highestRuns.set(task, Math.max(this.#highestRuns.get(task) ?? 0, run))
    this.#end(task, run, 'stopped')
    return { status: 200, body: {} }
  }

  async #hold ({ deadline_ms: deadline, last_seen: lastSeen, wait_ms: waitMs = 0 }) {
    this.#extendLease(deadline)
    for (const end of this.ended) if (end.number <= lastSeen) this.journal.noted(end.record)
    this.ended = this.ended.filter(({ number }) => number > lastSeen)
    if (this.ended.length === 0 && waitMs > 0) {
      await new Promise(resolve => {
        const timer = setTimeout(resolve, waitMs)
        this.#wakers.add(() => { clearTimeout(timer); resolve() })
      })
    }
    return {
      status: 200,
      body: {
        born: this.born,
        running: [...this.running.values()].map(({ task, run, percent }) => [task, run, '', percent, 0]),
        ended: this.ended.slice(0, ENDS_PER_RESPONSE).map(({ number, task, run, how }) => [number, task, run, how, ''])
      }
    }
  }

  #end (task, run, how) {
    const entry = this.running.get(`${task} ${run}`)
    if (!entry) return
    clearTimeout(entry.timer)
    this.running.delete(`${task} ${run}`)
    this.#lastEnd += 1
    this.ended.push({ number: this.#lastEnd, task, run, how, record: this.journal.ended(this, entry, how, this.#lastEnd) })
    for (const wake of this.#wakers) wake()
    this.#wakers.clear()
  }

  /** Kills everything once the lease has run out. */
  #checkLease () {
    if (this.clock <= this.#leaseUntil) return
    this.journal.lapsed(this)
    for (const { task, run } of [...this.running.values()]) this.#end(task, run, 'lapsed')
  }
}
