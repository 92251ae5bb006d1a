/**
 * Draws plans of series in which many workers fall silent together.
 */
import { SeededRandomSource } from '../../../src/supervision/seeded-random-source.js'
import { Draw } from './draw.js'
import { drawSeries } from './draw-series.js'
import { OWNER_ENDS } from './owner-ends.js'
import type { PlannedMachine } from './planned-machine.js'
import { PlannedWorkers } from './planned-workers.js'
import type { SeriesFleet } from './series-fleet.js'
import type { SeriesPlan } from './series-plan.js'
import { WideFleet } from './wide-fleet.js'
import { WORKER_SILENCES } from './worker-silences.js'

/** Ranges of the numbers of VMs, zones and racks of a zone. */
const MACHINES = [5, 16] as const
const ZONES = [2, 3] as const
const RACKS = [1, 3] as const

const POOLS = ['work', 'mail', 'video'] as const

/** Fewest VMs of a pool: one falls silent, and another one goes on. */
const FEWEST_PER_POOL = 2

const CLOCK_RATES = [0.98, 1, 1.02] as const

/** Difference between the seed of the disturbances and that of the fleet. */
const FLEET_SEED = 1_000_000

/** Groups of workers that fall silent together. */
type Extent = 'a rack' | 'a zone' | 'a pool' | 'half of a pool' | 'half of two pools' | 'half of the fleet'
const EXTENTS: readonly Extent[] = ['a rack', 'a zone', 'half of a pool', 'half of two pools', 'half of the fleet']

function drawMachines (draw: Draw): PlannedMachine[] {
  const count = draw.within(MACHINES)
  const pools = POOLS.slice(0, draw.within([1, Math.min(POOLS.length, Math.floor(count / FEWEST_PER_POOL))]))
  const racks = ['a', 'b', 'c'].slice(0, draw.within(ZONES)).flatMap(zone => Array.from({ length: draw.within(RACKS) }, (_, index) => ({ zone, rack: `${zone}${index}` })))
  const machines = Array.from({ length: count }, (_, index) => {
    const pool = index < pools.length * FEWEST_PER_POOL ? pools[index % pools.length] ?? POOLS[0] : draw.item(pools)
    return { pool, ...draw.item(racks), clockRate: draw.item(CLOCK_RATES) }
  })
  const listed = draw.items(machines, count)
  return draw.isTrue() ? listed.sort((left, right) => left.rack < right.rack ? -1 : Number(left.rack > right.rack)) : listed
}

function drawExtent (draw: Draw, machines: readonly PlannedMachine[], extent: Extent): PlannedMachine[] {
  const { pool, zone, rack } = draw.item(machines)
  const halfOf = (some: readonly PlannedMachine[]): PlannedMachine[] => draw.items(some, Math.floor(some.length / 2))
  const halfOfPool = (name: string): PlannedMachine[] => halfOf(machines.filter(machine => machine.pool === name))
  switch (extent) {
    case 'a rack': return machines.filter(machine => machine.rack === rack)
    case 'a zone': return machines.filter(machine => machine.zone === zone)
    case 'a pool': return machines.filter(machine => machine.pool === pool)
    case 'half of a pool': return halfOfPool(pool)
    case 'half of two pools': return draw.items([...new Set(machines.map(machine => machine.pool))], 2).flatMap(halfOfPool)
    case 'half of the fleet': return halfOf(machines)
  }
}

/** Draws the plan of a seed: a fleet, workers of it that fall silent but for one of each pool at least, and the disturbances of the narrow series of this seed. */
export function drawWideSeries (seed: number, silences = WORKER_SILENCES, ownerEnds = OWNER_ENDS, extents = EXTENTS, createFleet: (machines: readonly PlannedMachine[]) => SeriesFleet = machines => new WideFleet(machines)): SeriesPlan {
  const draw = new Draw(new SeededRandomSource(FLEET_SEED + seed))
  const machines = drawMachines(draw)
  const extent = draw.item(extents)
  const chosen = new Set(drawExtent(draw, machines, extent))
  const spared = POOLS.map(name => machines.filter(({ pool }) => pool === name)).flatMap(pool => pool.every(machine => chosen.has(machine)) ? pool.slice(-1) : [])
  const silent = [...chosen].filter(machine => !spared.includes(machine))
  return { ...drawSeries(seed, silences, ownerEnds), silentWorkers: new PlannedWorkers(extent, silent, machines.length), fleet: createFleet(machines) }
}
