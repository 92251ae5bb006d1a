/**
 * Draws what only series of takeovers have.
 */
import type { Draw } from '../lease-series/draw.js'
import { OWNER_ENDS } from '../lease-series/owner-ends.js'
import { WORKER_PARTITIONS } from '../lease-series/worker-partitions.js'
import { OWNER_CHANGES } from './owner-changes.js'
import type { RestartPlan } from './restart-plan.js'

/** Times for which the processes run before the series begins: within the longest delay of a call, and beyond it, in milliseconds. */
const START_MILLISECONDS = [2_000, 16_000] as const

/** Time in which renewals get no response, and their delay, in milliseconds: the platform says 2 to 12 s. */
const LATE_RENEWALS_FROM = [0, 3_000] as const
const LATE_RENEWALS_FOR = [50, 2_500] as const
const LATE_MILLISECONDS = [2_000, 12_000] as const

/** Changes of owners, in milliseconds. */
const OWNER_COUNT = [0, 2] as const
const OWNER_AT = [1_000, 12_000] as const
const OWNER_AWAY_MILLISECONDS = [500, 9_000] as const
const CUT_MILLISECONDS = [2_000, 15_000] as const

/** Times of an owner's change and of a cut around the arrival of late renewals, in milliseconds. */
const AROUND_ARRIVAL = [-1_000, 1_500] as const

/** Jobs of short tasks at workers that lose power: before, so that a late renewal acknowledges their completions, and as it arrives; in milliseconds. */
const SHORT_JOBS = [2, 6] as const
const SHORT_JOB_BEFORE = [0, 2_000] as const
const SHORT_JOB_AROUND_ARRIVAL = [-2_000, 500] as const
const SHORT_RUN_MILLISECONDS = [100, 1_500] as const

/** Maintenance of VMs, in milliseconds. */
const ORDER_AT = [1_000, 9_000] as const

/** All changes of owners, each once. */
const OWNER_KINDS = [...new Map([...OWNER_CHANGES, ...OWNER_ENDS, ...WORKER_PARTITIONS].map(kind => [kind.name, kind])).values()]

/**
 * Draws the takeovers of a plan, and jobs of short tasks beside them.
 *
 * @param victims indexes of the workers that lose power.
 * @param racks racks of these workers.
 */
export function drawTakeovers (draw: Draw, victims: readonly number[], racks: readonly string[]): { takeovers: NonNullable<RestartPlan['takeovers']>, jobs: RestartPlan['jobs'] } {
  const lateRenewalsAt = draw.within(LATE_RENEWALS_FROM)
  const lateRenewals = { at: lateRenewalsAt, until: lateRenewalsAt + draw.within(LATE_RENEWALS_FOR), lateMilliseconds: draw.within(LATE_MILLISECONDS) }
  const hasLateRenewals = draw.isTrue()
  const drawAround = ([first, last]: readonly [number, number]): number => draw.within([lateRenewals.at + first, lateRenewals.until + last]) + lateRenewals.lateMilliseconds
  const owners = Array.from({ length: draw.within(OWNER_COUNT) }, () => {
    const cutMilliseconds = draw.within(CUT_MILLISECONDS)
    const at = draw.isTrue() ? drawAround(AROUND_ARRIVAL) : draw.within(OWNER_AT)
    return { ...draw.disturbance(OWNER_KINDS, at, OWNER_AWAY_MILLISECONDS), cutMilliseconds: draw.isTrue() ? cutMilliseconds : null }
  })
  const cut = { at: drawAround(AROUND_ARRIVAL), lastsMilliseconds: draw.within(CUT_MILLISECONDS) }
  const ordered = { worker: draw.item(victims), at: draw.within(ORDER_AT) }
  const drawJob = (at: number): RestartPlan['jobs'][number] => ({ at, rack: draw.item(racks), tasks: draw.within([1, 3]), isLasting: false, runMilliseconds: draw.within(SHORT_RUN_MILLISECONDS), process: draw.within([0, 3]) })
  const jobs = Array.from({ length: draw.within(SHORT_JOBS) }, () => [drawJob(draw.within(SHORT_JOB_BEFORE)), drawJob(drawAround(SHORT_JOB_AROUND_ARRIVAL))]).flat()
  return {
    takeovers: {
      startMilliseconds: draw.item(START_MILLISECONDS),
      lateRenewals: hasLateRenewals ? lateRenewals : null,
      owners,
      cut: draw.within([0, 3]) === 0 ? null : cut,
      orders: draw.within([0, 3]) === 0 ? [ordered] : []
    },
    jobs
  }
}
