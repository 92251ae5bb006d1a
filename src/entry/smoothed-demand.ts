/**
 * The smoothed demand of this process, as it enters slot divisions.
 */

/** Fraction of the difference to the current demand by which each update changes the smoothed demand. */
const SMOOTHING_FACTOR = 0.25

/** Current demand of one team. */
interface Demand {
  readonly team: string | null
  readonly running: number
  readonly waiting: number
}

/**
 * Smooths the demand exponentially, with about the delay after which other processes
 * receive it.
 *
 * If a process counted its own demand at once and that of others late, then in a sudden
 * load increase every process would overestimate its proportion of the demand, use too many
 * slots and admit more requests than it can serve.
 */
export class SmoothedDemand {
  private readonly _smoothed = new Map<string | null, number>()

  /** Updates the smoothed demand from the current one and returns it by team; call once for each division. */
  update (current: readonly Demand[]): ReadonlyMap<string | null, number> {
    const targets = new Map(current.map(({ team, running, waiting }) => [team, running + waiting]))
    for (const team of new Set([...targets.keys(), ...this._smoothed.keys()])) {
      const target = targets.get(team) ?? 0
      const smoothed = this._smoothed.get(team) ?? 0
      const next = smoothed + SMOOTHING_FACTOR * (target - smoothed)
      if (target === 0 && next < SMOOTHING_FACTOR) this._smoothed.delete(team)
      else this._smoothed.set(team, Math.max(next, Math.min(1, target)))
    }
    return this._smoothed
  }
}
