/**
 * Turns of the steps that have waited longest.
 */
import { PlacementTurns } from './placement-turns.js'
import { PoolTurns } from './pool-turns.js'
import type { StepRank } from './step-rank.js'

/**
 * Of the tasks placed in a pool, one in sixteen goes to the step that has waited longest, while steps of different lateness or usage level wait there: otherwise
 * a load of jobs that are on time, or of a team with little usage, could hold up the others for as long as it lasts. The count of each pool outlasts
 * a round, because many rounds place only a few tasks. A new owner begins with a turn, so that changes of owner don't hold up anything.
 */
export class LongestWaitTurns extends PlacementTurns {
  private readonly _tasksSinceTurn = new Map<string, number>()

  override placeAll<Step extends StepRank> (steps: readonly Step[], placeTasks: (step: Step, maximum: number) => number): number {
    const turnsByPool = this._poolTurns(steps)
    let placed = 0
    for (const step of steps) {
      const turns = turnsByPool.get(step.pool)
      if (!turns) continue
      while (!turns.isExhausted(step)) {
        const { step: next, maximum } = turns.next(step)
        const count = placeTasks(next, maximum)
        turns.record(next, count, maximum)
        placed += count
      }
      this._tasksSinceTurn.set(step.pool, turns.tasksSinceTurn)
    }
    return placed
  }

  private _poolTurns<Step extends StepRank> (steps: readonly Step[]): Map<string, PoolTurns<Step>> {
    const stepsByPool = new Map<string, Step[]>()
    for (const step of steps) {
      const others = stepsByPool.get(step.pool)
      if (others) others.push(step)
      else stepsByPool.set(step.pool, [step])
    }
    return new Map([...stepsByPool].map(([pool, poolSteps]) => [pool, new PoolTurns(poolSteps, this._tasksSinceTurn.get(pool))]))
  }
}
