/**
 * Plays series of disturbances.
 */
import type { DisturbedFleet } from './disturbed-fleet.js'
import type { SeriesFleet } from './series-fleet.js'
import type { SeriesPlan } from './series-plan.js'
import type { SeriesResult } from './series-result.js'

/** Names of the processes; one more than a series can end for good. */
const PROCESSES = ['one', 'two', 'three', 'four', 'five']

/** Time after the last action in which runs may still lapse: an owner without the store has renewed their leases meanwhile. */
const LAPSE_MILLISECONDS = 12_000

/** Time after the last action at which a series ends although tasks don't run, in milliseconds. */
const LONGEST_END_MILLISECONDS = 20_000

/** Step in which its end is awaited, in milliseconds. */
const END_STEP_MILLISECONDS = 500

/** Plays a series until all tasks run again, or for long enough to tell that they don't. */
export async function playSeries ({ seed, silence, silentWorkers, ownerEnd, store, others, ownerKills, fleet: plannedFleet }: SeriesPlan): Promise<SeriesResult> {
  const disturbed = await plannedFleet.create(seed, PROCESSES)
  const { fleet, now: startedAt } = disturbed
  const firstBusyWorkers = disturbed.busyWorkers
  disturbed.schedule(startedAt + silence.at, () => {
    silence.kind.begin(disturbed, silentWorkers.choose(disturbed, firstBusyWorkers), startedAt + silence.until)
  })
  for (const { kind, at, until } of [...store ? [store] : [], ...others]) disturbed.schedule(startedAt + at, () => kind.begin(disturbed, null, startedAt + until))
  disturbed.schedule(startedAt + ownerEnd.at, () => {
    ownerEnd.kind.begin(disturbed, fleet.owner(), startedAt + ownerEnd.until)
    const kills = [...ownerKills]
    disturbed.onTermBegun = owner => {
      const kill = kills.shift()
      if (kill) disturbed.schedule(disturbed.now + kill.killAfter, () => disturbed.killNextOwner(owner, kill.restartAfter))
    }
  })
  do await disturbed.playUntil(disturbed.now + END_STEP_MILLISECONDS)
  while (disturbed.hasActions || !isOver(disturbed, plannedFleet))
  return { gaps: disturbed.gaps(), lateGaps: disturbed.lateGaps(), violations: fleet.violations(), isServable: disturbed.calm.isServable && plannedFleet.hasRoom(disturbed) }
}

function isOver ({ lastActionAt, now, busyWorkers }: DisturbedFleet, plannedFleet: SeriesFleet): boolean {
  const running = busyWorkers.reduce((sum, { running }) => sum + running.filter(task => plannedFleet.owns(task)).length, 0)
  return now >= lastActionAt + (running === plannedFleet.tasks ? LAPSE_MILLISECONDS : LONGEST_END_MILLISECONDS)
}
