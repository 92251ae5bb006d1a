/**
 * Random load balancing, the baseline in benchmarks.
 */
import { Maybe } from 'purify-ts/Maybe'
import type { RandomSource } from '../supervision/random-source.js'
import type { EndpointCandidate } from './endpoint-candidate.js'
import { EndpointChooser } from './endpoint-chooser.js'

/** Chooses any endpoint, regardless of its load and health. */
export class RandomChooser extends EndpointChooser {
  constructor (private readonly _random: RandomSource) {
    super()
  }

  override choose (candidates: readonly EndpointCandidate[], _avoid: ReadonlySet<string>): Maybe<EndpointCandidate> {
    return Maybe.fromNullable(candidates[this._random.integer(candidates.length)])
  }
}
