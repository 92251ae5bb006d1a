/**
 * The choice between two endpoints drawn at random.
 */
import { Just, Nothing, type Maybe } from 'purify-ts/Maybe'
import type { RandomSource } from '../supervision/random-source.js'
import type { EndpointCandidate } from './endpoint-candidate.js'
import { EndpointChooser } from './endpoint-chooser.js'

/** Smallest part of a pool that ejections must leave; below it they are ignored. */
const MINIMUM_HEALTHY_PART = 0.5

/** Latency below which endpoints count as equally fast, in milliseconds. */
const LOWEST_LATENCY_MILLISECONDS = 5

/**
 * Draws two endpoints with a free slot and takes the less loaded one. Two draws avoid both
 * the pile-up of always taking the least loaded, which all entry VMs see alike, and the
 * imbalance of a single draw.
 */
export class PowerOfTwoChooser extends EndpointChooser {
  constructor (private readonly _random: RandomSource) {
    super()
  }

  override choose (candidates: readonly EndpointCandidate[], avoid: ReadonlySet<string>): Maybe<EndpointCandidate> {
    const usable = this._withoutEjected(candidates)
    const fresh = usable.filter(candidate => !avoid.has(candidate.virtualMachine))
    const eligible = fresh.length > 0 ? fresh : usable
    const free = eligible.filter(candidate => candidate.inFlight < candidate.slots)
    if (free.length === 0) return Nothing
    const first = this._draw(free)
    const second = this._draw(free.length > 1 ? free.filter(candidate => candidate !== first) : free)
    return Just(this._load(first) <= this._load(second) ? first : second)
  }

  /**
   * Part of the slots in use once the request is added, times the recent latency. The
   * endpoint's own report counts what other entry VMs sent. Below
   * some milliseconds all count as equally fast.
   */
  protected _load (candidate: EndpointCandidate): number {
    const running = 1 + Math.max(candidate.inFlight, candidate.reportedRunning)
    return running / candidate.slots * Math.max(LOWEST_LATENCY_MILLISECONDS, candidate.latencyMilliseconds)
  }

  /** Ejection never empties a pool: when most look unwell, the fault is likelier on the way or in the work. */
  private _withoutEjected (candidates: readonly EndpointCandidate[]): readonly EndpointCandidate[] {
    const healthy = candidates.filter(candidate => !candidate.isEjected)
    return healthy.length >= candidates.length * MINIMUM_HEALTHY_PART ? healthy : candidates
  }

  private _draw (candidates: readonly EndpointCandidate[]): EndpointCandidate {
    return candidates[this._random.integer(candidates.length)] as EndpointCandidate
  }
}
