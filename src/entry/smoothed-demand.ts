/**
 * This process's demand as the division counts it.
 */

/** Part of the way towards the present that the counted demand goes at each look. */
const STEP = 0.25

/** Demand of one team at one moment. */
interface Demand {
  readonly team: string | null
  readonly running: number
  readonly waiting: number
}

/**
 * Follows the present demand with about the delay with which the others hear of it.
 *
 * Were one's own demand counted at once and the others' late, every process would see
 * itself ahead in a sudden rush, take more than its part and admit more than it can serve.
 */
export class SmoothedDemand {
  private readonly _counted = new Map<string | null, number>()

  /** Takes the present demand and returns what counts, by team. Call at each division. */
  update (present: readonly Demand[]): ReadonlyMap<string | null, number> {
    const targets = new Map(present.map(({ team, running, waiting }) => [team, running + waiting]))
    for (const team of new Set([...targets.keys(), ...this._counted.keys()])) {
      const target = targets.get(team) ?? 0
      const counted = this._counted.get(team) ?? 0
      const next = counted + STEP * (target - counted)
      if (target === 0 && next < STEP) this._counted.delete(team)
      else this._counted.set(team, Math.max(next, Math.min(1, target)))
    }
    return this._counted
  }
}
