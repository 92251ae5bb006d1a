/**
 * Goodput under overload.
 */
import { Benchmark } from './benchmark.js'
import { FleetSimulation } from './fleet-simulation.js'
import type { ResultRow } from './result-row.js'

/** Loads as multiples of what the pool holds. */
const LOADS = [0.8, 1, 3, 10]

/** Mean service time in milliseconds. */
const SERVICE_MILLISECONDS = 100

/** Time that a request has, in milliseconds. */
const DEADLINE_MILLISECONDS = 2_000

/** Seconds simulated at each load, of which the first are not counted. */
const SECONDS = 12
const WARM_UP_SECONDS = 4

/** Entry processes, endpoints and slots. */
const ENTRIES = 8
const ENDPOINTS = 7
const SLOTS = 8

/** Answers in time as a part of what the pool can give, with our queues and with one that refuses nothing. */
export class GoodputBenchmark extends Benchmark {
  override readonly name = 'goodput'
  override readonly summary = 'answers in time (% of capacity) at multiples of capacity; naive: first come, first served, nothing refused'

  override async run (): Promise<ResultRow[]> {
    const rows: ResultRow[] = []
    for (const load of LOADS) {
      const value = await this._ours(load)
      rows.push({ figure: `${load} times capacity`, value, naive: this._naive(load), target: 'near its peak' })
    }
    return rows
  }

  private _perSecond (): number {
    return ENDPOINTS * SLOTS * 1_000 / SERVICE_MILLISECONDS
  }

  private async _ours (load: number): Promise<number> {
    const teams = ['one', 'two', 'three', 'four', 'five', 'six']
    const simulation = new FleetSimulation({ entries: ENTRIES, endpoints: ENDPOINTS, slotsPerEndpoint: SLOTS, shares: new Map(teams.map(team => [team, 1])), seed: 11 })
    const { clock, random, entries } = simulation
    let answered = 0
    const total = Math.floor(this._perSecond() * load * SECONDS)
    const interval = SECONDS * 1_000 / total
    const startedAt = clock.now()
    const countFrom = startedAt + WARM_UP_SECONDS * 1_000
    for (let index = 0; index < total; index++) {
      const due = startedAt + Math.floor(index * interval)
      if (due > clock.now()) await clock.advance(due - clock.now())
      const entry = entries[random.integer(entries.length)]
      const service = Math.max(1, Math.ceil(-Math.log(1 - random.next()) * SERVICE_MILLISECONDS))
      if (!entry) continue
      void simulation.request(entry, teams[random.integer(teams.length)] ?? 'one', service, clock.now() + DEADLINE_MILLISECONDS).then(isInTime => {
        if (isInTime && clock.now() >= countFrom && clock.now() < startedAt + SECONDS * 1_000) answered += 1
      })
    }
    const end = startedAt + SECONDS * 1_000
    if (end > clock.now()) await clock.advance(end - clock.now())
    simulation.stop()
    return 100 * answered / (SECONDS - WARM_UP_SECONDS) / this._perSecond()
  }

  /** One queue for all; whatever has come to its turn runs, whether or not its caller still waits. */
  private _naive (load: number): number {
    const free = new Array<number>(ENDPOINTS * SLOTS).fill(0)
    const total = Math.floor(this._perSecond() * load * SECONDS)
    let answered = 0
    for (let index = 0; index < total; index++) {
      const arrival = index * SECONDS * 1_000 / total
      const slot = free.indexOf(Math.min(...free))
      const end = Math.max(arrival, free[slot] ?? 0) + SERVICE_MILLISECONDS
      free[slot] = end
      if (end - arrival <= DEADLINE_MILLISECONDS && end >= WARM_UP_SECONDS * 1_000 && end < SECONDS * 1_000) answered += 1
    }
    return 100 * answered / (SECONDS - WARM_UP_SECONDS) / this._perSecond()
  }
}
