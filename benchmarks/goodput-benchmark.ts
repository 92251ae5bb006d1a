/**
 * Benchmark of goodput under overload.
 */
import { Benchmark } from './benchmark.js'
import { FleetSimulation } from './fleet-simulation.js'
import type { ResultRow } from './result-row.js'

/** Offered loads as multiples of the pool's capacity. */
const LOADS = [0.8, 1, 3, 10]

/** Mean service time of a request. */
const MEAN_SERVICE_MILLISECONDS = 100

/** Time from a request's arrival to its deadline. */
const REQUEST_TIMEOUT_MILLISECONDS = 2_000

/** Simulated time at each load, including the warm-up. */
const SIMULATED_SECONDS = 12

/** Time at the start of each simulation whose responses aren't counted. */
const WARM_UP_SECONDS = 4

/** Size of the simulated fleet. */
const ENTRY_PROCESSES = 8
const ENDPOINTS = 7
const SLOTS_PER_ENDPOINT = 8

/** Measures responses in time as a percentage of the pool's capacity, with the system's queues and with one that refuses nothing. */
export class GoodputBenchmark extends Benchmark {
  override readonly name = 'goodput'
  override readonly summary = 'responses in time (% of capacity) at multiples of capacity; naive: first come, first served, nothing refused'

  override async run (): Promise<ResultRow[]> {
    const rows: ResultRow[] = []
    for (const load of LOADS) {
      const value = await this._measureSystem(load)
      rows.push({ figure: `${load} times capacity`, value, naive: this._measureNaive(load), target: 'near its peak' })
    }
    return rows
  }

  private _capacityPerSecond (): number {
    return ENDPOINTS * SLOTS_PER_ENDPOINT * 1_000 / MEAN_SERVICE_MILLISECONDS
  }

  private async _measureSystem (load: number): Promise<number> {
    const teams = ['one', 'two', 'three', 'four', 'five', 'six']
    const simulation = new FleetSimulation({ entryCount: ENTRY_PROCESSES, endpointCount: ENDPOINTS, slotsPerEndpoint: SLOTS_PER_ENDPOINT, shares: new Map(teams.map(team => [team, 1])), seed: 11 })
    const { clock, random, entries } = simulation
    let answeredInTime = 0
    const total = Math.floor(this._capacityPerSecond() * load * SIMULATED_SECONDS)
    const interval = SIMULATED_SECONDS * 1_000 / total
    const startedAt = clock.now()
    const countedFrom = startedAt + WARM_UP_SECONDS * 1_000
    for (let index = 0; index < total; index++) {
      const arrivalAt = startedAt + Math.floor(index * interval)
      if (arrivalAt > clock.now()) await clock.advance(arrivalAt - clock.now())
      const entry = entries[random.integer(entries.length)]
      const service = Math.max(1, Math.ceil(-Math.log(1 - random.next()) * MEAN_SERVICE_MILLISECONDS))
      if (!entry) continue
      void simulation.request(entry, teams[random.integer(teams.length)] ?? 'one', service, clock.now() + REQUEST_TIMEOUT_MILLISECONDS).then(isInTime => {
        if (isInTime && clock.now() >= countedFrom && clock.now() < startedAt + SIMULATED_SECONDS * 1_000) answeredInTime += 1
      })
    }
    const endAt = startedAt + SIMULATED_SECONDS * 1_000
    if (endAt > clock.now()) await clock.advance(endAt - clock.now())
    simulation.stop()
    return 100 * answeredInTime / (SIMULATED_SECONDS - WARM_UP_SECONDS) / this._capacityPerSecond()
  }

  /** One queue for all requests, which run in order of arrival even if their deadline has passed. */
  private _measureNaive (load: number): number {
    const freeAt = new Array<number>(ENDPOINTS * SLOTS_PER_ENDPOINT).fill(0)
    const total = Math.floor(this._capacityPerSecond() * load * SIMULATED_SECONDS)
    let answeredInTime = 0
    for (let index = 0; index < total; index++) {
      const arrival = index * SIMULATED_SECONDS * 1_000 / total
      const slot = freeAt.indexOf(Math.min(...freeAt))
      const endAt = Math.max(arrival, freeAt[slot] ?? 0) + MEAN_SERVICE_MILLISECONDS
      freeAt[slot] = endAt
      if (endAt - arrival <= REQUEST_TIMEOUT_MILLISECONDS && endAt >= WARM_UP_SECONDS * 1_000 && endAt < SIMULATED_SECONDS * 1_000) answeredInTime += 1
    }
    return 100 * answeredInTime / (SIMULATED_SECONDS - WARM_UP_SECONDS) / this._capacityPerSecond()
  }
}
