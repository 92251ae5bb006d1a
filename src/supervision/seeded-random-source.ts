/**
 * Pseudo-random numbers by the `pure-rand` package. Daemons seed it from the system's
 * entropy, tests with a fixed seed.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { RandomSource } from './random-source.js'

/** A reproducible source: the same seed gives the same numbers. */
export class SeededRandomSource extends RandomSource {
  private readonly _generator: ReturnType<typeof xoroshiro128plus>

  /** @param seed any 32-bit integer. */
  constructor (seed: number) {
    super()
    this._generator = xoroshiro128plus(seed)
  }

  override next (): number {
    return uniformFloat64(this._generator)
  }
}
