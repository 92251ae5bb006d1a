/**
 * Several entry processes' queues on one pool, in simulated time.
 */
import { PowerOfTwoChooser } from '../src/endpoints/power-of-two-chooser.js'
import { DemandSlotDivision } from '../src/entry/demand-slot-division.js'
import { LimitLedger } from '../src/entry/limit-ledger.js'
import { LoanTable } from '../src/entry/loan-table.js'
import { SmoothedDemand } from '../src/entry/smoothed-demand.js'
import { PoolQueue } from '../src/entry/pool-queue.js'
import type { SlotDivision } from '../src/entry/slot-division.js'
import { MemoryMetrics } from '../src/observability/memory-metrics.js'
import { Pool } from '../src/schemas/pool.js'
import { Queue } from '../src/schemas/queue.js'
import { StateKeeper } from '../src/state/state-keeper.js'
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { FakeClock } from '../tests/support/fake-clock.js'
import { LogAuthor } from '../tests/support/log-author.js'

/** How old the others' demand is when a process divides, in milliseconds: heartbeats and hops. */
const GOSSIP_MILLISECONDS = 400

/** How often each process divides, in milliseconds. */
const DIVISION_MILLISECONDS = 100

/** What is simulated. */
interface SimulationOptions {
  readonly entries: number
  readonly endpoints: number
  readonly slotsPerEndpoint: number
  /** Shares by team. */
  readonly shares: ReadonlyMap<string, number>
  readonly division?: SlotDivision
  readonly seed: number
}

/** One entry process. */
class SimulatedEntry {
  /** Demands as the others hear of them, late. */
  told: ReturnType<PoolQueue['demands']> = []
  readonly own = new SmoothedDemand()
  constructor (readonly name: string, readonly queue: PoolQueue) {}
}

/** Requests of teams at entries, run in the endpoints' slots by the system's own queues and policies. */
export class FleetSimulation {
  readonly clock = new FakeClock()
  readonly random: SeededRandomSource
  readonly entries: SimulatedEntry[] = []
  /** Slot time by team since the last `takeSlotTime`, in milliseconds. */
  private _slotTime = new Map<string, number>()
  private readonly _running = new Map<string, number>()
  private readonly _endpoints: { running: number }[]
  private readonly _definition = Queue.parse({ name: 'work', pool: 'work', maximumQueuedRequests: 100_000 })
  private readonly _chooser: PowerOfTwoChooser
  private readonly _division: SlotDivision
  private _requests = 0
  private _chargedAt = 0
  private _isStopped = false

  constructor (private readonly _options: SimulationOptions) {
    this.random = new SeededRandomSource(_options.seed)
    this._chooser = new PowerOfTwoChooser(this.random)
    this._division = _options.division ?? new DemandSlotDivision()
    this._endpoints = Array.from({ length: _options.endpoints }, () => ({ running: 0 }))
    this._chargedAt = this.clock.now()
    for (let index = 0; index < _options.entries; index++) this.entries.push(this._entry(`entry-${index}`))
    void this._gossip()
    void this._divide()
  }

  /** Slots of all endpoints. */
  get slots (): number {
    return this._options.endpoints * this._options.slotsPerEndpoint
  }

  /** Ends the simulation's own tasks. */
  stop (): void {
    this._isStopped = true
  }

  /** Runs one request; true if it was answered before its deadline. */
  async request (entry: SimulatedEntry, team: string, serviceMilliseconds: number, deadline: number): Promise<boolean> {
    const requestId = `request-${this._requests++}`
    const signal = new AbortController().signal
    const slot = await entry.queue.acquire({ requestId, team, queue: this._definition, bytes: 0, deadline, isRetry: false, signal })
    if (slot.isLeft()) return false
    const endpoint = await this._free(deadline)
    if (endpoint) {
      slot.ifRight(({ begin }) => begin())
      this._change(endpoint, team, 1)
      await this.clock.sleepUntil(this.clock.now() + serviceMilliseconds)
      this._change(endpoint, team, -1)
    }
    slot.ifRight(({ release }) => release())
    return endpoint !== undefined && this.clock.now() <= deadline
  }

  /** Slot time by team since the last call, in milliseconds. */
  takeSlotTime (): Map<string, number> {
    this._charge()
    const taken = this._slotTime
    this._slotTime = new Map()
    return taken
  }

  /** An endpoint with a free slot; looks again after a short pause while there is none, as the dispatcher does. */
  private async _free (deadline: number): Promise<{ running: number } | undefined> {
    while (this.clock.now() < deadline) {
      const candidates = this._endpoints.map(({ running }, index) => ({
        virtualMachine: String(index), availabilityZone: 'a', slots: this._options.slotsPerEndpoint, inFlight: running, reportedRunning: running, latencyMilliseconds: 0, isEjected: false
      }))
      const chosen = this._chooser.choose(candidates, new Set()).extract()
      if (chosen) return this._endpoints[Number(chosen.virtualMachine)]
      await this.clock.sleepUntil(this.clock.now() + 1 + this.random.integer(20))
    }
    return undefined
  }

  private _change (endpoint: { running: number }, team: string, change: number): void {
    this._charge()
    endpoint.running += change
    this._running.set(team, (this._running.get(team) ?? 0) + change)
  }

  private _charge (): void {
    const elapsed = this.clock.now() - this._chargedAt
    this._chargedAt = this.clock.now()
    for (const [team, running] of this._running) this._slotTime.set(team, (this._slotTime.get(team) ?? 0) + running * elapsed)
  }

  private _entry (name: string): SimulatedEntry {
    const author = new LogAuthor()
    author.accept({ kind: 'put-pool', value: Pool.parse({ name: 'work' }), expectedVersion: 0 })
    author.join('entry', name)
    for (const [team, share] of this._options.shares) {
      author.accept(
        { kind: 'put-team', value: { name: team, share, upperLimit: 1_000_000 }, expectedVersion: 0 },
        { kind: 'adjust-grants', holder: { member: name, incarnation: `${name}-1` }, sequence: (author.state.members.get(name)?.grantSequence ?? 0) + 1, changes: [{ team, units: 1_000_000 }] }
      )
    }
    const keeper = new StateKeeper(this.clock, new MemoryMetrics())
    keeper.loadSnapshot(author.state.toSnapshot())
    const ledger = new LimitLedger(keeper, { member: name, incarnation: `${name}-1` }, new LoanTable(this.clock))
    return new SimulatedEntry(name, new PoolQueue('work', this.clock, ledger, team => this._options.shares.get(team ?? '') ?? 1, () => {}, new MemoryMetrics()))
  }

  private async _gossip (): Promise<void> {
    while (!this._isStopped) {
      const now = this.entries.map(entry => entry.queue.demands())
      await this.clock.sleepUntil(this.clock.now() + GOSSIP_MILLISECONDS / 2)
      this.entries.forEach((entry, index) => { entry.told = now[index] ?? [] })
    }
  }

  private async _divide (): Promise<void> {
    while (!this._isStopped) {
      for (const entry of this.entries) entry.queue.setAllocation(this._division.divide(this._input(entry)))
      await this.clock.sleepUntil(this.clock.now() + DIVISION_MILLISECONDS)
    }
  }

  private _input (self: SimulatedEntry): Parameters<SlotDivision['divide']>[0] {
    const own = self.own.update(self.queue.demands())
    const teams = [...this._options.shares].map(([team, share]) => {
      const byMember = new Map<string, number>()
      for (const entry of this.entries) {
        const told = entry.told.find(candidate => candidate.team === team)
        const demand = entry === self ? own.get(team) : told && told.running + told.waiting
        if (demand) byMember.set(entry.name, demand)
      }
      return { team, share, limit: 1_000_000, byMember }
    })
    return { slots: this.slots, self: self.name, members: this.entries.map(entry => entry.name), teams: teams.filter(({ byMember }) => byMember.size > 0) }
  }
}
