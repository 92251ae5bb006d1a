/**
 * How near each team comes to its share.
 */
import { DemandSlotDivision } from '../src/entry/demand-slot-division.js'
import { FixedSlotDivision } from '../src/entry/fixed-slot-division.js'
import type { SlotDivision } from '../src/entry/slot-division.js'
import { weightedMaxMin } from '../src/entry/weighted-max-min.js'
import { Benchmark } from './benchmark.js'
import { FleetSimulation } from './fleet-simulation.js'
import type { ResultRow } from './result-row.js'

/** Six teams, a few large, with their shares and mean service times in milliseconds. */
const TEAMS = [
  { name: 'large-one', share: 4, serviceMilliseconds: 100, entries: [0, 1, 2, 3, 4, 5, 6, 7] },
  { name: 'large-two', share: 4, serviceMilliseconds: 300, entries: [0] },
  { name: 'middle', share: 2, serviceMilliseconds: 50, entries: [1, 2] },
  { name: 'small-one', share: 1, serviceMilliseconds: 100, entries: [3] },
  { name: 'small-two', share: 1, serviceMilliseconds: 20, entries: [0, 1, 2, 3, 4, 5, 6, 7] },
  { name: 'small-three', share: 1, serviceMilliseconds: 200, entries: [5, 6] }
] as const

/** Requests that each team keeps waiting or running, so that all is full. */
const BACKLOG = 120

/** Seconds simulated before and while shares are measured. */
const WARM_UP_SECONDS = 3
const MEASURED_SECONDS = 15

/** Seconds after which a team that had stopped comes back. */
const LENDING_SECONDS = 10

/** Six teams on eight entry processes and a full pool, a second at a time. */
export class SharesBenchmark extends Benchmark {
  override readonly name = 'shares'
  override readonly summary = 'departure of each team from its share, a second at a time, all full; naive: a fixed part for each entry VM'

  override async run (): Promise<ResultRow[]> {
    const ours = await this._measure(new DemandSlotDivision())
    const naive = await this._measure(new FixedSlotDivision())
    return [
      { figure: 'mean departure from share (% of share)', value: ours.mean, naive: naive.mean, target: '' },
      { figure: 'worst departure of a team in a second (%)', value: ours.worst, naive: naive.worst, target: '' },
      { figure: 'worst departure of a team over the whole time (%)', value: ours.worstOverall, naive: naive.worstOverall, target: '' },
      { figure: 'slots in use (%)', value: ours.use, naive: naive.use, target: '' },
      { figure: 'seconds until a lent share is back (within 10%)', value: ours.returnSeconds, naive: naive.returnSeconds, target: 'within seconds' }
    ]
  }

  private async _measure (division: SlotDivision): Promise<{ mean: number, worst: number, worstOverall: number, use: number, returnSeconds: number }> {
    const simulation = new FleetSimulation({
      entries: 8, endpoints: 7, slotsPerEndpoint: 8, shares: new Map(TEAMS.map(({ name, share }) => [name, share])), division, seed: 5
    })
    const stopped = new Set<string>()
    for (const team of TEAMS) for (let index = 0; index < BACKLOG; index++) void this._work(simulation, team, index, stopped)
    await simulation.clock.advance(WARM_UP_SECONDS * 1_000)
    simulation.takeSlotTime()
    const seconds: Map<string, number>[] = []
    for (let second = 0; second < MEASURED_SECONDS; second++) {
      await simulation.clock.advance(1_000)
      seconds.push(simulation.takeSlotTime())
    }
    const returnSeconds = await this._lend(simulation, stopped)
    simulation.stop()
    return { ...this._departures(simulation, seconds), returnSeconds }
  }

  private async _work (simulation: FleetSimulation, team: typeof TEAMS[number], index: number, stopped: ReadonlySet<string>): Promise<void> {
    const entry = simulation.entries[team.entries[index % team.entries.length] ?? 0]
    if (!entry) return
    for (;;) {
      if (stopped.has('all')) return
      if (stopped.has(team.name)) {
        await simulation.clock.sleepUntil(simulation.clock.now() + 50)
        continue
      }
      const service = Math.ceil(-Math.log(1 - simulation.random.next()) * team.serviceMilliseconds)
      await simulation.request(entry, team.name, Math.max(1, service), simulation.clock.now() + 600_000)
    }
  }

  private _ideal (simulation: FleetSimulation): number[] {
    return weightedMaxMin(simulation.slots, TEAMS.map(({ share }) => ({ weight: share, demand: BACKLOG })))
  }

  private _departures (simulation: FleetSimulation, seconds: readonly Map<string, number>[]): { mean: number, worst: number, worstOverall: number, use: number } {
    const ideal = this._ideal(simulation)
    const departures = seconds.flatMap(second => TEAMS.map(({ name }, index) => Math.abs((second.get(name) ?? 0) / 1_000 / (ideal[index] ?? 1) - 1)))
    const overall = TEAMS.map(({ name }, index) => {
      const total = seconds.reduce((sum, second) => sum + (second.get(name) ?? 0), 0)
      return Math.abs(total / 1_000 / seconds.length / (ideal[index] ?? 1) - 1)
    })
    const used = seconds.reduce((sum, second) => sum + [...second.values()].reduce((total, time) => total + time, 0), 0)
    return {
      mean: 100 * departures.reduce((sum, departure) => sum + departure, 0) / departures.length,
      worst: 100 * Math.max(...departures),
      worstOverall: 100 * Math.max(...overall),
      use: 100 * used / 1_000 / seconds.length / simulation.slots
    }
  }

  /** A large team stops, the others use its share, it comes back. */
  private async _lend (simulation: FleetSimulation, stopped: Set<string>): Promise<number> {
    stopped.add('large-one')
    await simulation.clock.advance(LENDING_SECONDS * 1_000)
    stopped.delete('large-one')
    const [ideal = 1] = this._ideal(simulation)
    let elapsed = 0
    for (const step = 250; elapsed < 60_000;) {
      simulation.takeSlotTime()
      await simulation.clock.advance(step)
      elapsed += step
      if ((simulation.takeSlotTime().get('large-one') ?? 0) / step > 0.9 * ideal) break
    }
    stopped.add('all')
    return elapsed / 1_000
  }
}
