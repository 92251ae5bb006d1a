/**
 * Minions that run gangs and checkpoints as the users' pages say.
 */

/** Bounds of the site lsla-leave, in milliseconds. */
const CHECKPOINT_MILLISECONDS = 500
const RESTORE_MILLISECONDS = 600
const GANG_TIMEOUT_MILLISECONDS = 3_000
const LONGEST_LEASE_MILLISECONDS = 6_000

/** Ends in one answer. */
const ENDS_PER_ANSWER = 500

const POLL_MILLISECONDS = 20

/** A task's run on a minion. */
interface Run {
  readonly task: string
  readonly run: number
  /** Value that the start carried; empty for none. */
  readonly checkpoint: string
  readonly startedAt: number
  readonly minion: GangMinion
  /** Whether the task is a gang's; others run on until they are stopped. */
  readonly isGang: boolean
}

/** Tells what the minions have seen. */
type Recorder = (event: object) => void

/** Work that a checkpoint stands for, in milliseconds: its first eight digits. */
const workOf = (checkpoint: string): number => checkpoint === '' ? 0 : parseInt(checkpoint.slice(0, 8), 16)

const jobOf = (task: string): string => task.split('.')[0] ?? ''

/** The members of all gangs find each other here. Members that carry different checkpoints can't work together, and wait. */
export class Gangs {
  private readonly _runs = new Set<Run>()
  /** Time at which a gang has been complete, by step, run and checkpoint. */
  private readonly _completeSince = new Map<string, number>()

  /** @param _size number of the tasks of each gang; @param _workMilliseconds work of each. */
  constructor (private readonly _size: number, private readonly _workMilliseconds: number, private readonly _record: Recorder) {
    setInterval(() => this._advance(), POLL_MILLISECONDS)
  }

  add (run: Run): void {
    this._runs.add(run)
  }

  of (minion: GangMinion): Run[] {
    return [...this._runs].filter(run => run.minion === minion)
  }

  /** Newest checkpoint of a run: one with each half second of work. */
  checkpointOf (run: Run): string {
    const since = this._completeSince.get(this._keyOf(run))
    if (since === undefined) return run.checkpoint
    const restored = run.checkpoint === '' ? 0 : RESTORE_MILLISECONDS
    const worked = Math.max(0, Math.floor((Date.now() - since - restored) / CHECKPOINT_MILLISECONDS)) * CHECKPOINT_MILLISECONDS
    const total = workOf(run.checkpoint) + worked
    return total === 0 ? '' : total.toString(16).padStart(8, '0') + jobOf(run.task).slice(0, 8)
  }

  percentOf (run: Run): number {
    if (!run.isGang) return 100
    return Math.min(99, Math.floor(workOf(this.checkpointOf(run)) / this._workMilliseconds * 100))
  }

  /** Ends a run; the other members of its gang can't go on. */
  end (run: Run, how: string): void {
    const members = [...this._runs].filter(other => this._keyOf(other) === this._keyOf(run))
    const wasComplete = this._completeSince.has(this._keyOf(run))
    run.minion.list(run, how, this.checkpointOf(run))
    if (wasComplete) for (const other of members) if (other !== run) other.minion.list(other, how === 'done' ? 'done' : 'broken', this.checkpointOf(other))
    for (const other of wasComplete ? members : [run]) this._runs.delete(other)
    if (wasComplete) this._completeSince.delete(this._keyOf(run))
  }

  private _keyOf ({ task, run, checkpoint }: Run): string {
    return `${task.split('.').slice(0, 3).join('.')} ${run} ${checkpoint}`
  }

  private _advance (): void {
    const counts = new Map<string, number>()
    for (const run of this._runs) if (run.isGang) counts.set(this._keyOf(run), (counts.get(this._keyOf(run)) ?? 0) + 1)
    for (const [key, count] of counts) {
      if (count === this._size && !this._completeSince.has(key)) {
        this._completeSince.set(key, Date.now())
        this._record({ gang: key, event: 'works' })
      }
    }
    for (const run of [...this._runs]) {
      if (!this._runs.has(run)) continue
      if (!run.isGang) {
        if (run.minion.hasLapsed) this.end(run, 'lapsed')
      } else if (!this._completeSince.has(this._keyOf(run))) {
        if (Date.now() >= run.startedAt + GANG_TIMEOUT_MILLISECONDS) this.end(run, 'alone')
      } else if (workOf(this.checkpointOf(run)) >= this._workMilliseconds) this.end(run, 'done')
      else if (run.minion.hasLapsed) this.end(run, 'lapsed')
    }
  }
}

/** One life of a minion. */
export class GangMinion {
  isGone = false
  private _token = 0
  private _deadline = 0
  private readonly _highest = new Map<string, number>()
  private _ends: [number, string, number, string, string][] = []
  private _count = 0

  constructor (readonly id: string, readonly born: number, private readonly _gangs: Gangs, private readonly _record: Recorder) {}

  get hasLapsed (): boolean {
    return this._clock >= this._deadline
  }

  /** Lists the end of a run. */
  list ({ task, run }: Run, how: string, saved: string): void {
    if (this.isGone) {
      this._record({ lost: task, run, worker: this.id })
      return
    }
    this._count += 1
    this._ends.push([this._count, task, run, how, saved])
    this._record({ ended: task, run, how, saved, worker: this.id })
  }

  /** Ends everything here without a word. */
  crash (): void {
    this.isGone = true
    for (const run of this._gangs.of(this)) this._gangs.end(run, 'lost')
  }

  async handle (call: string, body: { task: string, run: number, deadline_ms?: number, fencing_token?: number, last_seen?: number, wait_ms?: number, last_checkpoint?: string, spec?: string }): Promise<{ status: number, body: object }> {
    const token = body.fencing_token ?? 0
    if (token < this._token) return this._refuse('fence')
    this._token = token
    if (body.deadline_ms !== undefined) this._deadline = Math.max(this._deadline, Math.min(body.deadline_ms, this._clock + LONGEST_LEASE_MILLISECONDS))
    switch (call) {
      case 'run-start': return this._start(body.task, body.run, body.last_checkpoint ?? '', body.spec === 'gang')
      case 'run-stop': return this._stop(body.task, body.run)
      case 'hold': return this._hold(body.last_seen ?? 0, body.wait_ms ?? 0)
      default: return { status: 200, body: { clock_ms: this._clock } }
    }
  }

  private get _clock (): number {
    return 1_000 + Date.now() - this.born
  }

  private _start (task: string, run: number, checkpoint: string, isGang: boolean): { status: number, body: object } {
    if (this._gangs.of(this).some(other => other.task === task && other.run === run)) return { status: 200, body: { clock_ms: this._clock } }
    if (run <= (this._highest.get(task) ?? 0)) return this._refuse('old')
    if (this.hasLapsed) return this._refuse('late')
    this._highest.set(task, run)
    this._gangs.add({ task, run, checkpoint, startedAt: Date.now(), minion: this, isGang })
    this._record({ started: task, run, checkpoint, worker: this.id })
    return { status: 200, body: { clock_ms: this._clock } }
  }

  private _stop (task: string, run: number): { status: number, body: object } {
    this._highest.set(task, Math.max(this._highest.get(task) ?? 0, run))
    const stopped = this._gangs.of(this).find(other => other.task === task && other.run === run)
    if (stopped) this._gangs.end(stopped, 'stopped')
    return { status: 200, body: { clock_ms: this._clock } }
  }

  private async _hold (lastSeen: number, waitMilliseconds: number): Promise<{ status: number, body: object }> {
    this._ends = this._ends.filter(([number]) => number > lastSeen)
    const until = Date.now() + waitMilliseconds
    while (this._ends.length === 0 && !this.isGone && Date.now() < until) await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS))
    const running = this._gangs.of(this).map(run => [run.task, run.run, this._gangs.checkpointOf(run), this._gangs.percentOf(run), 1_000])
    return { status: 200, body: { born: this.born, clock_ms: this._clock, running, ended: this._ends.slice(0, ENDS_PER_ANSWER) } }
  }

  private _refuse (reason: string): { status: number, body: object } {
    return { status: 409, body: { clock_ms: this._clock, reason } }
  }
}
