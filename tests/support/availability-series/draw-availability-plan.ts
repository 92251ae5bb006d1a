/**
 * Draws plans of series in which lasting tasks are moved about while owners and workers fail.
 */
import { SeededRandomSource } from '../../../src/supervision/seeded-random-source.js'
import { Draw } from '../lease-series/draw.js'
import { OWNER_ENDS } from '../lease-series/owner-ends.js'
import { WORKER_SILENCES } from '../lease-series/worker-silences.js'
import { OWNER_CHANGES } from '../restart-series/owner-changes.js'
import type { AvailabilityPlan } from './availability-plan.js'

/** Offset of the seeds of plans from those of other series. */
const PLAN_SEEDS = 7_000_000

const NAMES = ['one', 'two', 'three', 'four']
const POOLS = ['work', 'other'] as const
const RACKS = ['r1', 'r2', 'r3', 'r4'] as const
const CLOCK_RATES = [0.98, 1, 1.02] as const
const WORKERS = [6, 12] as const
const PROCESSES = [2, 4] as const
const STANDBY_MACHINES = [0, 4] as const

/** Longest leases of the deployments. */
const MAXIMUM_LEASES_MILLISECONDS = [6_000, 10_000] as const

/** Times of a worker for a start and a stop, in milliseconds. */
const WARM_UP_MILLISECONDS = [0, 100, 300, 800] as const
const STOP_MILLISECONDS = [0, 100, 400] as const

const LASTING_JOBS = [2, 4] as const
const LASTING_TASKS = [3, 6] as const
const BUDGETS = [1, 1, 2] as const
const LASTING_JOB_AT = [0, 14_000] as const
const CANCELLED_AT = [15_000, 25_000] as const
const SHORT_JOBS = [0, 10] as const
const SHORT_JOB_AT = [0, 20_000] as const
const SHORT_TASKS = [1, 24] as const
const RUN_MILLISECONDS = [300, 4_000] as const

/** Times and sizes of waves; shares are percentages. */
const WAVES = [1, 2] as const
const WAVE_AT = [1_000, 12_000] as const
const WAVE_SHARE = [30, 100] as const
const MAXIMUM_AT_ONCE = [1, 3] as const

/** Times of disturbances and their lengths, in milliseconds. */
const DISTURBANCES = [0, 3] as const
const DISTURBED_AT = [2_000, 20_000] as const
const OWNER_AWAY_MILLISECONDS = [200, 7_000] as const
const STALL_MILLISECONDS = [200, 4_000] as const
const NEAR_JOB_MILLISECONDS = [-100, 600] as const
const HICCUP_MILLISECONDS = [100, 2_500] as const
const WORKER_LATENCY_MILLISECONDS = [200, 1_500] as const
const OUTAGE_MILLISECONDS = [300, 8_000] as const
const LOST_WORKERS = [1, 3] as const

/** Ends of owners that leave a process for the rest of the series, with those of series of restarts. */
const OWNER_KINDS = [...OWNER_CHANGES, ...OWNER_ENDS.filter(({ name }) => name.includes('lost') || name.startsWith('cut off'))]

/** Draws the plan of a seed. */
export function drawAvailabilityPlan (seed: number): AvailabilityPlan {
  const draw = new Draw(new SeededRandomSource(PLAN_SEEDS + seed))
  const list = <Item>(counts: readonly [number, number], create: () => Item): Item[] => Array.from({ length: draw.within(counts) }, create)
  const workerNumber = (): number => draw.within([0, 1_000])
  const lastingJobs = list(LASTING_JOBS, () => ({ at: draw.isTrue() ? 0 : draw.within(LASTING_JOB_AT), tasks: draw.within(LASTING_TASKS), budget: draw.item(BUDGETS), cancelledAt: draw.within([0, 3]) === 0 ? draw.within(CANCELLED_AT) : Infinity }))
  const drawTime = (): number => draw.isTrue() ? Math.max(0, draw.item(lastingJobs).at + draw.within(NEAR_JOB_MILLISECONDS)) : draw.within(DISTURBED_AT)
  return {
    seed,
    processes: NAMES.slice(0, draw.within(PROCESSES)),
    workers: list(WORKERS, () => ({ pool: POOLS[draw.within([0, 3]) === 0 ? 1 : 0], rack: draw.item(RACKS), clockRate: draw.item(CLOCK_RATES) })),
    standbyMachines: draw.within(STANDBY_MACHINES),
    maximumLeaseMilliseconds: draw.item(MAXIMUM_LEASES_MILLISECONDS),
    warmUpMilliseconds: draw.item(WARM_UP_MILLISECONDS),
    stopMilliseconds: draw.item(STOP_MILLISECONDS),
    lastingJobs,
    shortJobs: list(SHORT_JOBS, () => ({ at: draw.within(SHORT_JOB_AT), pool: draw.item(POOLS), tasks: draw.within(SHORT_TASKS), runMilliseconds: draw.within(RUN_MILLISECONDS) })),
    waves: list(WAVES, () => ({ at: draw.within(WAVE_AT), share: draw.within(WAVE_SHARE), maximumAtOnce: draw.within(MAXIMUM_AT_ONCE) })),
    owners: list(DISTURBANCES, () => draw.disturbance(OWNER_KINDS, draw.within(DISTURBED_AT), OWNER_AWAY_MILLISECONDS)),
    stalls: list(DISTURBANCES, () => ({ process: draw.within([0, NAMES.length - 1]), at: drawTime(), milliseconds: draw.within(STALL_MILLISECONDS) })),
    hiccups: list(DISTURBANCES, () => ({ at: drawTime(), milliseconds: draw.within(HICCUP_MILLISECONDS), latencyMilliseconds: draw.isTrue() ? draw.within(WORKER_LATENCY_MILLISECONDS) : 0 })),
    outages: list(DISTURBANCES, () => ({ ...draw.disturbance(WORKER_SILENCES, draw.within(DISTURBED_AT), OUTAGE_MILLISECONDS), workers: list(LOST_WORKERS, workerNumber) })),
    failures: list(DISTURBANCES, () => ({ at: draw.within(DISTURBED_AT), worker: workerNumber() }))
  }
}
