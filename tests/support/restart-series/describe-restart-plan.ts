/**
 * A description of a series of workers that start again, for reports.
 */
import type { RestartPlan } from './restart-plan.js'

/** Returns what happens in a series, with times in milliseconds from its start. */
export function describeRestartPlan ({ seed, workers, processes, outages, connections, renewalMilliseconds, reportMilliseconds, lists, owner, lateStarts, takeovers }: RestartPlan): string {
  const describeOutage = ({ worker, losses, cut }: RestartPlan['outages'][number]): string => {
    const described = losses.map(({ at, darkMilliseconds, registrationMilliseconds }) => `dark from ${at} to ${at + darkMilliseconds}, registered ${registrationMilliseconds} later`)
    return `i-${worker + 1} ${described.join('; ')}${cut ? `; cut off ${cut.afterMilliseconds} after a start for ${cut.lastsMilliseconds}` : ''}`
  }
  return [
    `seed ${seed}: ${workers.length} workers, ${processes.length} processes`,
    ...outages.map(describeOutage),
    `connections ${JSON.stringify(connections)}, reports ${renewalMilliseconds} + ${reportMilliseconds}, lists ${lists.ageMilliseconds} old, take ${lists.milliseconds}`,
    `owner ${owner ? `${owner.kind.name} from ${owner.at} to ${owner.until}` : 'stays'}`,
    ...lateStarts ? [`starts from ${lateStarts.at} to ${lateStarts.until} are ${lateStarts.lateMilliseconds} late`] : [],
    ...takeovers ? describeTakeovers(takeovers) : []
  ].join('\n  ')
}

function describeTakeovers ({ startMilliseconds, lateRenewals, owners, cut, orders }: NonNullable<RestartPlan['takeovers']>): string[] {
  return [
    `processes started ${startMilliseconds} before`,
    ...lateRenewals ? [`renewals from ${lateRenewals.at} to ${lateRenewals.until} are ${lateRenewals.lateMilliseconds} late`] : [],
    ...owners.map(({ kind, at, until, cutMilliseconds }) => `owner ${kind.name} from ${at} to ${until}${cutMilliseconds === null ? '' : `, restarted workers cut off for ${cutMilliseconds}`}`),
    ...cut ? [`restarted workers cut off at ${cut.at} for ${cut.lastsMilliseconds}`] : [],
    ...orders.map(({ worker, at }) => `VM of i-${worker + 1} maintained at ${at}`)
  ]
}
