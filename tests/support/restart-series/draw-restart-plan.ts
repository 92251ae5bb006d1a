/**
 * Draws plans of series of workers that start again under their IDs.
 */
import { SeededRandomSource } from '../../../src/supervision/seeded-random-source.js'
import { Draw } from '../lease-series/draw.js'
import { drawTakeovers } from './draw-takeovers.js'
import { OWNER_CHANGES } from './owner-changes.js'
import type { RestartPlan } from './restart-plan.js'

/** Numbers of workers, processes, racks and jobs. */
const WORKERS = [3, 6] as const
const PROCESSES = [2, 4] as const
const RACKS = ['r1', 'r2', 'r3'] as const
const JOBS = [5, 10] as const
const JOBS_NEAR_LOSSES = [2, 6] as const
const NAMES = ['one', 'two', 'three', 'four']
const CLOCK_RATES = [0.98, 1, 1.02] as const

/** Times of the losses of power, of the jobs and of the owner's change, in milliseconds. */
const LOSS_AT = [1_500, 2_500] as const
const DARK_MILLISECONDS = [0, 1_500] as const
const REGISTRATION_MILLISECONDS = [0, 1_500] as const
const NEXT_LOSS_AFTER = [20, 1_500] as const
const JOB_AT = [0, 5_500] as const
const JOB_NEAR_LOSS = [-300, 300] as const
const RUN_MILLISECONDS = [300, 20_000] as const
const OWNER_CHANGE_AT = [1_000, 5_000] as const
const OWNER_AWAY_MILLISECONDS = [500, 7_000] as const

/** Times of the cut after a start, in milliseconds. */
const CUT_AFTER_MILLISECONDS = [0, 300] as const
const CUT_MILLISECONDS = [5_000, 9_000] as const

/** Time between opening packets, and the times after which callers give them up: that of the client over HTTP, or none. */
const REPEAT_MILLISECONDS = [10, 50, 200, 600, 1_000] as const
const CONNECT_TIMEOUT_MILLISECONDS = [700, Infinity] as const
const OPENED = [30, 100] as const
const LOST_RESPONSES = [0, 0, 30, 100] as const

/** Delays of reports before and after they are made, less in sum than the time for which an owner waits for one, and of lists, in milliseconds. */
const RENEWAL_MILLISECONDS = [0, 0, 0, 40, 150] as const
const REPORT_MILLISECONDS = [0, 40, 150, 300, 420] as const
const LIST_AGE_MILLISECONDS = [0, 300] as const
const LIST_MILLISECONDS = [0, 5, 200, 800] as const

/** Time for which starts are late, and their delay, in milliseconds. */
const LATE_STARTS_FROM = [500, 3_000] as const
const LATE_STARTS_FOR = [100, 1_500] as const
const LATE_MILLISECONDS = [2_000, 6_000] as const

/** Difference between the seeds of the modes, so that they draw different plans. */
const MODE_SEEDS = { prompt: 4_000_000, late: 5_000_000, takeovers: 7_000_000 } as const

/**
 * Draws the plan of a seed.
 *
 * @param mode whether some starts are carried out late, after their call has been given up; with takeovers, renewals are as well, and several owners fail.
 */
export function drawRestartPlan (seed: number, mode: keyof typeof MODE_SEEDS): RestartPlan {
  const draw = new Draw(new SeededRandomSource(MODE_SEEDS[mode] + seed))
  const workers = Array.from({ length: draw.within(WORKERS) }, () => ({ rack: draw.item(RACKS), clockRate: draw.item(CLOCK_RATES) }))
  const processes = NAMES.slice(0, draw.within(PROCESSES))
  const victims = draw.items(workers.map((_, index) => index), draw.within([1, Math.min(3, workers.length - 1)]))
  const victimRacks = victims.flatMap(index => workers[index]?.rack ?? [])
  const outages = victims.map(worker => {
    let at = draw.within(LOSS_AT)
    const losses = Array.from({ length: draw.within([1, 2]) }, () => {
      const loss = { at, darkMilliseconds: draw.within(DARK_MILLISECONDS), registrationMilliseconds: draw.within(REGISTRATION_MILLISECONDS) }
      at += loss.darkMilliseconds + draw.within(NEXT_LOSS_AFTER)
      return loss
    })
    const cut = { afterMilliseconds: draw.within(CUT_AFTER_MILLISECONDS), lastsMilliseconds: draw.isTrue() ? Infinity : draw.within(CUT_MILLISECONDS) }
    return { worker, losses, cut: draw.isTrue() ? cut : null }
  })
  const drawJob = (at: number, rack: string): RestartPlan['jobs'][number] => ({ at, rack, tasks: draw.within([1, 3]), isLasting: draw.isTrue(), runMilliseconds: draw.within(RUN_MILLISECONDS), process: draw.within([0, NAMES.length]) })
  const jobs = Array.from({ length: draw.within(JOBS) }, () => drawJob(draw.within(JOB_AT), draw.isTrue() ? draw.item(victimRacks) : draw.item(RACKS)))
  const jobsNearLosses = outages.flatMap(({ worker, losses }) => losses.flatMap(({ at, darkMilliseconds, registrationMilliseconds }) => {
    const [before, after] = JOB_NEAR_LOSS
    return Array.from({ length: draw.within(JOBS_NEAR_LOSSES) }, () => drawJob(draw.within([at + before, at + darkMilliseconds + registrationMilliseconds + after]), workers[worker]?.rack ?? ''))
  }))
  const connections = { repeatMilliseconds: draw.item(REPEAT_MILLISECONDS), timeoutMilliseconds: draw.item(CONNECT_TIMEOUT_MILLISECONDS), opened: draw.within(OPENED), lostResponses: draw.item(LOST_RESPONSES) }
  const ownerChangesAt = draw.within(OWNER_CHANGE_AT)
  const ownerChange = draw.disturbance(OWNER_CHANGES, ownerChangesAt, OWNER_AWAY_MILLISECONDS)
  const lateStartsAt = draw.within(LATE_STARTS_FROM)
  const plan: RestartPlan = {
    seed,
    workers,
    processes,
    jobs: [...jobs, ...jobsNearLosses],
    outages,
    connections,
    renewalMilliseconds: draw.item(RENEWAL_MILLISECONDS),
    reportMilliseconds: draw.item(REPORT_MILLISECONDS),
    lists: { ageMilliseconds: draw.within(LIST_AGE_MILLISECONDS), milliseconds: draw.item(LIST_MILLISECONDS) },
    owner: draw.isTrue() ? ownerChange : null,
    lateStarts: mode === 'late' ? { at: lateStartsAt, until: lateStartsAt + draw.within(LATE_STARTS_FOR), lateMilliseconds: draw.within(LATE_MILLISECONDS) } : null,
    takeovers: null
  }
  if (mode !== 'takeovers') return plan
  const { takeovers, jobs: shortJobs } = drawTakeovers(draw, victims, victimRacks)
  return { ...plan, owner: null, takeovers, jobs: [...plan.jobs, ...shortJobs] }
}
