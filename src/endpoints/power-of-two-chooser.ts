/**
 * The choice between two endpoints drawn at random.
 */
import { Just, Nothing, type Maybe } from 'purify-ts/Maybe'
import type { RandomSource } from '../supervision/random-source.js'
import type { EndpointCandidate } from './endpoint-candidate.js'
import { EndpointChooser } from './endpoint-chooser.js'

/** Smallest part of a pool that ejections must leave; below it they are ignored. */
const MINIMUM_HEALTHY_PART = 0.5

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
    const second = this._draw(free)
    return Just(this._load(first) <= this._load(second) ? first : second)
  }

  /** Part of the slots in use; the endpoint's own report counts what other entry VMs sent. */
  protected _load (candidate: EndpointCandidate): number {
    return Math.max(candidate.inFlight, candidate.reportedRunning) / candidate.slots
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
