/**
 * Pseudo-random numbers from the `pure-rand` package. Daemons draw the seed from the operating system,
 * tests use a fixed one.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { RandomSource } from './random-source.js'

/** Reproducible random source: the same seed gives the same sequence. */
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
