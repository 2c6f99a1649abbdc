import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'

/**
 * Seeded pseudo-random number generator (xoroshiro128+ of `pure-rand`): the same seed gives the same sequence.
 *
 * @example
 * const random = new Random(42)
 * const delayMs = random.nextInt(0, 100)
 */
export class Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** Returns an integer between `low` and `high`, inclusive. */
  nextInt (low: number, high: number): number {
    return uniformInt(this.#generator, low, high)
  }

  /** Returns a number in [0, 1). */
  nextFloat (): number {
    return uniformFloat64(this.#generator)
  }
}
