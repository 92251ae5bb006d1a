/**
 * Simulation of several entry processes that send requests to one pool, in simulated time.
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

/** Maximum age of the demand that a process knows of the others; stands for heartbeat intervals and hops between peers. */
const MAXIMUM_DEMAND_AGE_MILLISECONDS = 400

/** Interval between two divisions of the pool's slots in each process. */
const DIVISION_INTERVAL_MILLISECONDS = 100

/** Parameters of a simulation. */
interface SimulationOptions {
  readonly entryCount: number
  readonly endpointCount: number
  readonly slotsPerEndpoint: number
  /** Shares by team. */
  readonly shares: ReadonlyMap<string, number>
  /** Division of the pool's slots among teams and entry processes. */
  readonly division?: SlotDivision
  readonly seed: number
}

/** Simulated entry process. */
class SimulatedEntry {
  /** Demands by team as the other processes know them, with a delay. */
  publishedDemands: ReturnType<PoolQueue['demands']> = []
  readonly smoothedDemand = new SmoothedDemand()
  constructor (readonly name: string, readonly queue: PoolQueue) {}
}

/** Simulates requests of teams, scheduled onto the endpoints' slots by the system's own queues and policies. */
export class FleetSimulation {
  readonly clock = new FakeClock()
  readonly random: SeededRandomSource
  readonly entries: SimulatedEntry[] = []
  /** Slot time by team since the last call of `resetSlotTime`, in milliseconds. */
  private _slotTime = new Map<string, number>()
  private readonly _runningByTeam = new Map<string, number>()
  private readonly _endpoints: { running: number }[]
  private readonly _queueDefinition = Queue.parse({ name: 'work', pool: 'work', maximumQueuedRequests: 100_000 })
  private readonly _chooser: PowerOfTwoChooser
  private readonly _division: SlotDivision
  private _requestCount = 0
  private _slotTimeUpdatedAt = 0
  private _isStopped = false

  constructor (private readonly _options: SimulationOptions) {
    this.random = new SeededRandomSource(_options.seed)
    this._chooser = new PowerOfTwoChooser(this.random)
    this._division = _options.division ?? new DemandSlotDivision()
    this._endpoints = Array.from({ length: _options.endpointCount }, () => ({ running: 0 }))
    this._slotTimeUpdatedAt = this.clock.now()
    for (let index = 0; index < _options.entryCount; index++) this.entries.push(this._createEntry(`entry-${index}`))
    void this._exchangeDemands()
    void this._divideSlots()
  }

  /** Slots of all endpoints. */
  get slots (): number {
    return this._options.endpointCount * this._options.slotsPerEndpoint
  }

  /** Stops the exchange of demands and the division of slots. */
  stop (): void {
    this._isStopped = true
  }

  /** Runs one request; returns whether it was answered before its deadline. */
  async request (entry: SimulatedEntry, team: string, serviceMilliseconds: number, deadline: number): Promise<boolean> {
    const requestId = `request-${this._requestCount++}`
    const signal = new AbortController().signal
    const slot = await entry.queue.acquire({ requestId, team, queue: this._queueDefinition, bytes: 0, deadline, isRetry: false, signal })
    if (slot.isLeft()) return false
    const endpoint = await this._waitForFreeEndpoint(deadline)
    if (endpoint) {
      slot.ifRight(({ begin }) => begin())
      this._addRunning(endpoint, team, 1)
      await this.clock.sleepUntil(this.clock.now() + serviceMilliseconds)
      this._addRunning(endpoint, team, -1)
    }
    slot.ifRight(({ release }) => release())
    return endpoint !== undefined && this.clock.now() <= deadline
  }

  /** Returns the slot time by team since the last call, in milliseconds, and starts again from 0. */
  resetSlotTime (): Map<string, number> {
    this._updateSlotTime()
    const slotTime = this._slotTime
    this._slotTime = new Map()
    return slotTime
  }

  /** Waits for an endpoint with a free slot until the deadline; polls at short random intervals, as the dispatcher does. */
  private async _waitForFreeEndpoint (deadline: number): Promise<{ running: number } | undefined> {
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

  private _addRunning (endpoint: { running: number }, team: string, delta: number): void {
    this._updateSlotTime()
    endpoint.running += delta
    this._runningByTeam.set(team, (this._runningByTeam.get(team) ?? 0) + delta)
  }

  /** Adds the time since the last call to the slot time of each team with running requests. */
  private _updateSlotTime (): void {
    const elapsed = this.clock.now() - this._slotTimeUpdatedAt
    this._slotTimeUpdatedAt = this.clock.now()
    for (const [team, running] of this._runningByTeam) this._slotTime.set(team, (this._slotTime.get(team) ?? 0) + running * elapsed)
  }

  private _createEntry (name: string): SimulatedEntry {
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

  /** Publishes the demands of each process to the others with a delay, as peers do with heartbeats. */
  private async _exchangeDemands (): Promise<void> {
    while (!this._isStopped) {
      const sampledDemands = this.entries.map(entry => entry.queue.demands())
      await this.clock.sleepUntil(this.clock.now() + MAXIMUM_DEMAND_AGE_MILLISECONDS / 2)
      this.entries.forEach((entry, index) => { entry.publishedDemands = sampledDemands[index] ?? [] })
    }
  }

  private async _divideSlots (): Promise<void> {
    while (!this._isStopped) {
      for (const entry of this.entries) entry.queue.setAllocation(this._division.divide(this._divisionInput(entry)))
      await this.clock.sleepUntil(this.clock.now() + DIVISION_INTERVAL_MILLISECONDS)
    }
  }

  /** Input of the slot division at one process: its own smoothed demand and the published demands of the others. */
  private _divisionInput (self: SimulatedEntry): Parameters<SlotDivision['divide']>[0] {
    const ownDemands = self.smoothedDemand.update(self.queue.demands())
    const teams = [...this._options.shares].map(([team, share]) => {
      const byMember = new Map<string, number>()
      for (const entry of this.entries) {
        const published = entry.publishedDemands.find(candidate => candidate.team === team)
        const demand = entry === self ? ownDemands.get(team) : published && published.running + published.waiting
        if (demand) byMember.set(entry.name, demand)
      }
      return { team, share, limit: 1_000_000, byMember }
    })
    return { slots: this.slots, self: self.name, members: this.entries.map(entry => entry.name), teams: teams.filter(({ byMember }) => byMember.size > 0) }
  }
}
