/**
 * Benchmark of how closely each team gets its share.
 */
import { DemandSlotDivision } from '../src/entry/demand-slot-division.js'
import { FixedSlotDivision } from '../src/entry/fixed-slot-division.js'
import type { SlotDivision } from '../src/entry/slot-division.js'
import { weightedMaxMin } from '../src/entry/weighted-max-min.js'
import { Benchmark } from './benchmark.js'
import { FleetSimulation } from './fleet-simulation.js'
import type { ResultRow } from './result-row.js'

/** Teams with their shares, mean service times and the indexes of the entry processes that receive their requests. */
const TEAMS = [
  { name: 'large-one', share: 4, serviceMilliseconds: 100, entryIndexes: [0, 1, 2, 3, 4, 5, 6, 7] },
  { name: 'large-two', share: 4, serviceMilliseconds: 300, entryIndexes: [0] },
  { name: 'middle', share: 2, serviceMilliseconds: 50, entryIndexes: [1, 2] },
  { name: 'small-one', share: 1, serviceMilliseconds: 100, entryIndexes: [3] },
  { name: 'small-two', share: 1, serviceMilliseconds: 20, entryIndexes: [0, 1, 2, 3, 4, 5, 6, 7] },
  { name: 'small-three', share: 1, serviceMilliseconds: 200, entryIndexes: [5, 6] }
] as const

/** Number of requests of each team that run or wait, enough to fill the pool. */
const CONCURRENCY_PER_TEAM = 120

/** Simulated time before the measurement. */
const WARM_UP_SECONDS = 3

/** Simulated time of the measurement. */
const MEASURED_SECONDS = 15

/** Time for which a team sends no requests, so that the others use its share. */
const IDLE_SECONDS = 10

/** Simulates six teams with requests at eight entry processes and a full pool, and measures the slot time of each team in every second. */
export class SharesBenchmark extends Benchmark {
  override readonly name = 'shares'
  override readonly summary = 'deviation of each team from its share in each second, with a full pool; naive: a fixed fraction of the slots for each entry VM'

  override async run (): Promise<ResultRow[]> {
    const system = await this._measure(new DemandSlotDivision())
    const naive = await this._measure(new FixedSlotDivision())
    return [
      { figure: 'mean departure from share (% of share)', value: system.mean, naive: naive.mean, target: '' },
      { figure: 'worst departure of a team in a second (%)', value: system.worst, naive: naive.worst, target: '' },
      { figure: 'worst departure of a team over the whole time (%)', value: system.worstOverall, naive: naive.worstOverall, target: '' },
      { figure: 'slots in use (%)', value: system.slotUsePercentage, naive: naive.slotUsePercentage, target: '' },
      { figure: 'seconds until a lent share is back (within 10%)', value: system.returnSeconds, naive: naive.returnSeconds, target: 'within seconds' }
    ]
  }

  private async _measure (division: SlotDivision): Promise<{ mean: number, worst: number, worstOverall: number, slotUsePercentage: number, returnSeconds: number }> {
    const simulation = new FleetSimulation({
      entryCount: 8, endpointCount: 7, slotsPerEndpoint: 8, shares: new Map(TEAMS.map(({ name, share }) => [name, share])), division, seed: 5
    })
    const idleTeams = new Set<string>()
    for (const team of TEAMS) for (let index = 0; index < CONCURRENCY_PER_TEAM; index++) void this._sendRequests(simulation, team, index, idleTeams)
    await simulation.clock.advance(WARM_UP_SECONDS * 1_000)
    simulation.resetSlotTime()
    const seconds: Map<string, number>[] = []
    for (let second = 0; second < MEASURED_SECONDS; second++) {
      await simulation.clock.advance(1_000)
      seconds.push(simulation.resetSlotTime())
    }
    const returnSeconds = await this._measureReturn(simulation, idleTeams)
    simulation.stop()
    return { ...this._deviations(simulation, seconds), returnSeconds }
  }

  /** Sends one request after another, except while the team is idle; returns when `idleTeams` contains `all`. */
  private async _sendRequests (simulation: FleetSimulation, team: typeof TEAMS[number], index: number, idleTeams: ReadonlySet<string>): Promise<void> {
    const entry = simulation.entries[team.entryIndexes[index % team.entryIndexes.length] ?? 0]
    if (!entry) return
    for (;;) {
      if (idleTeams.has('all')) return
      if (idleTeams.has(team.name)) {
        await simulation.clock.sleepUntil(simulation.clock.now() + 50)
        continue
      }
      const service = Math.ceil(-Math.log(1 - simulation.random.next()) * team.serviceMilliseconds)
      await simulation.request(entry, team.name, Math.max(1, service), simulation.clock.now() + 600_000)
    }
  }

  /** Slots of each team in a division of the full pool by shares. */
  private _idealSlots (simulation: FleetSimulation): number[] {
    return weightedMaxMin(simulation.slots, TEAMS.map(({ share }) => ({ weight: share, demand: CONCURRENCY_PER_TEAM })))
  }

  private _deviations (simulation: FleetSimulation, seconds: readonly Map<string, number>[]): { mean: number, worst: number, worstOverall: number, slotUsePercentage: number } {
    const idealSlots = this._idealSlots(simulation)
    const deviations = seconds.flatMap(second => TEAMS.map(({ name }, index) => Math.abs((second.get(name) ?? 0) / 1_000 / (idealSlots[index] ?? 1) - 1)))
    const overall = TEAMS.map(({ name }, index) => {
      const total = seconds.reduce((sum, second) => sum + (second.get(name) ?? 0), 0)
      return Math.abs(total / 1_000 / seconds.length / (idealSlots[index] ?? 1) - 1)
    })
    const used = seconds.reduce((sum, second) => sum + [...second.values()].reduce((total, time) => total + time, 0), 0)
    return {
      mean: 100 * deviations.reduce((sum, deviation) => sum + deviation, 0) / deviations.length,
      worst: 100 * Math.max(...deviations),
      worstOverall: 100 * Math.max(...overall),
      slotUsePercentage: 100 * used / 1_000 / seconds.length / simulation.slots
    }
  }

  /** Lets a large team pause while the others use its share; returns the seconds from its return until it has 90% of its share again. */
  private async _measureReturn (simulation: FleetSimulation, idleTeams: Set<string>): Promise<number> {
    idleTeams.add('large-one')
    await simulation.clock.advance(IDLE_SECONDS * 1_000)
    idleTeams.delete('large-one')
    const [idealSlots = 1] = this._idealSlots(simulation)
    let elapsed = 0
    for (const step = 250; elapsed < 60_000;) {
      simulation.resetSlotTime()
      await simulation.clock.advance(step)
      elapsed += step
      if ((simulation.resetSlotTime().get('large-one') ?? 0) / step > 0.9 * idealSlots) break
    }
    idleTeams.add('all')
    return elapsed / 1_000
  }
}
