/**
 * How often the owner repeats its work.
 */
import type { ProcessorLoad } from '../observability/processor-load.js'

/** Utilization up to which the owner works at full pace; from there on, intervals grow in proportion. */
const FULL_PACE_UTILIZATION = 0.6

/** Time between the responses of one worker that reported completions, in milliseconds, at full pace and with no processor time left. */
const RENEWAL_INTERVAL_MILLISECONDS = { least: 10, most: 240 } as const

/**
 * Time that a worker's response to a renewal or an order may take, in milliseconds, at full pace and with no processor time left. A response that
 * is given up may have reported completions, which the worker counts as delivered.
 */
const RESPONSE_MILLISECONDS = { least: 600, most: 2_400 } as const

/** Time between two placement rounds, in milliseconds, at full pace and with no processor time left. */
const ROUND_INTERVAL_MILLISECONDS = { least: 10, most: 80 } as const

/** Number of tasks of no use to their callers any more that one round places once the owner falls short of full pace: each costs the processor time of one that somebody waits for. */
const OBSOLETE_TASKS_PER_ROUND = 4

/**
 * Makes an owner that is short of processor time do more with each call and each round, instead of doing everything late: each
 * renewal of a lease then collects several completions, and each round places what has arrived meanwhile.
 */
export class OwnerPace {
  constructor (private readonly _load: ProcessorLoad) {}

  /** Least time from a worker's response with completions to the next renewal of its lease, in milliseconds. */
  get renewalIntervalMilliseconds (): number {
    return this._stretch(RENEWAL_INTERVAL_MILLISECONDS)
  }

  /** Time that a worker's response may take, in milliseconds. */
  get responseMilliseconds (): number {
    return this._stretch(RESPONSE_MILLISECONDS)
  }

  /** Least time between two placement rounds, in milliseconds. */
  get roundIntervalMilliseconds (): number {
    return this._stretch(ROUND_INTERVAL_MILLISECONDS)
  }

  /** Largest number of tasks of no use any more that one round places. */
  get obsoleteTasksPerRound (): number {
    return this._load.utilization > FULL_PACE_UTILIZATION ? OBSOLETE_TASKS_PER_ROUND : Infinity
  }

  private _stretch ({ least, most }: { readonly least: number, readonly most: number }): number {
    const shortage = Math.min(1, Math.max(0, (this._load.utilization - FULL_PACE_UTILIZATION) / (1 - FULL_PACE_UTILIZATION)))
    return least + (most - least) * shortage
  }
}
