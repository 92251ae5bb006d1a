/**
 * A description of a series for reports.
 */
import type { SeriesPlan } from './series-plan.js'

/** Returns what happens in a series, with times in milliseconds from its start. */
export function describeSeries ({ seed, silence, silentWorkers, ownerEnd, store, others, ownerKills }: SeriesPlan): string {
  const during = ({ kind: { name }, at, until }: { kind: { name: string }, at: number, until: number }): string => `${name} from ${at}${until === Infinity ? '' : ` to ${until}`}`
  const parts = [
    `${silentWorkers.toString()} ${during(silence)}`,
    `owner ${during(ownerEnd)}`,
    `store ${store ? during(store) : 'fine'}`,
    ...others.map(during),
    ...ownerKills.map(({ killAfter, restartAfter }) => `next owner killed after ${killAfter}${restartAfter === Infinity ? '' : `, restarted ${restartAfter} later`}`)
  ]
  return `seed ${seed}: ${parts.join('; ')}`
}
