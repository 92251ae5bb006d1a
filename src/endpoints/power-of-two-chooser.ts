/**
 * Load balancing by the power of two random choices.
 */
import { Just, Nothing, type Maybe } from 'purify-ts/Maybe'
import type { RandomSource } from '../supervision/random-source.js'
import type { EndpointCandidate } from './endpoint-candidate.js'
import { EndpointChooser } from './endpoint-chooser.js'

/** Minimum fraction of a pool that must not be ejected; below it, ejections are ignored. */
const MINIMUM_HEALTHY_FRACTION = 0.5

/** Latencies below this value are treated as equal, in milliseconds. */
const MINIMUM_LATENCY_MILLISECONDS = 5

/**
 * Draws two random endpoints that have a free slot and chooses the less loaded one. Always choosing the least
 * loaded endpoint would overload it, because all entry VMs see the same one; a single random draw
 * would leave the load unbalanced.
 */
export class PowerOfTwoChooser extends EndpointChooser {
  constructor (private readonly _random: RandomSource) {
    super()
  }

  override choose (candidates: readonly EndpointCandidate[], avoid: ReadonlySet<string>): Maybe<EndpointCandidate> {
    const usable = this._withoutEjected(candidates)
    const untried = usable.filter(candidate => !avoid.has(candidate.virtualMachine))
    const eligible = untried.length > 0 ? untried : usable
    const withFreeSlot = eligible.filter(candidate => candidate.inFlight < candidate.slots)
    if (withFreeSlot.length === 0) return Nothing
    const first = this._draw(withFreeSlot)
    const second = this._draw(withFreeSlot.length > 1 ? withFreeSlot.filter(candidate => candidate !== first) : withFreeSlot)
    return Just(this.load(first) <= this.load(second) ? first : second)
  }

  /**
   * The fraction of slots in use including the new request, multiplied by the recent latency. The endpoint's
   * own report also counts requests from other entry VMs.
   */
  protected load (candidate: EndpointCandidate): number {
    const running = 1 + Math.max(candidate.inFlight, candidate.reportedRunning)
    return running / candidate.slots * Math.max(MINIMUM_LATENCY_MILLISECONDS, candidate.latencyMilliseconds)
  }

  /** Ejection never empties a pool: if most endpoints look unhealthy, the cause is more likely the network or the requests. */
  private _withoutEjected (candidates: readonly EndpointCandidate[]): readonly EndpointCandidate[] {
    const healthy = candidates.filter(candidate => !candidate.isEjected)
    return healthy.length >= candidates.length * MINIMUM_HEALTHY_FRACTION ? healthy : candidates
  }

  private _draw (candidates: readonly EndpointCandidate[]): EndpointCandidate {
    return candidates[this._random.integer(candidates.length)] as EndpointCandidate
  }
}
