/** Statistics of the run times of ended runs, relative to estimates of them; all values are logarithms of ratios. */
import { build, type Histogram } from 'hdr-histogram-js'

/** Weight after which the older half of a distribution is discarded, in steps of average size. */
const WINDOW_WEIGHT = 100
/** Decay per unit of weight, so that a line follows about as many samples as a distribution. */
const DECAY_PER_WEIGHT = 1 / WINDOW_WEIGHT
/** Ratios are recorded as multiples of a thousandth, up to a million of them. */
const RATIO_UNITS = 1_000
const MAX_RECORDED = 1_000_000
/** A histogram counts whole numbers, so a weight is recorded as a multiple of this. */
const WEIGHT_UNITS = 256

/**
 * Line of least squares through samples that lose weight as others follow and with age. Few samples count little: the
 * line is shrunk towards zero, which stands for the prediction that it corrects.
 */
export class ShrunkenLine {
  readonly #priorWeight: number
  readonly #priorSpread: number
  #weight = 0
  #sumX = 0
  #sumY = 0
  #sumXX = 0
  #sumXY = 0
  #sumYY = 0

  /**
   * @param priorWeight - weight of the samples at which the line is halfway between zero and their fit
   * @param priorSpread - weighted sum of squared deviations of the abscissas at which the slope is halved
   */
  constructor (priorWeight: number, priorSpread: number) {
    this.#priorWeight = priorWeight
    this.#priorSpread = priorSpread
  }

  get weight (): number {
    return this.#weight
  }

  /** Multiplies the weight of all samples. */
  decay (factor: number): void {
    this.#weight *= factor
    this.#sumX *= factor
    this.#sumY *= factor
    this.#sumXX *= factor
    this.#sumXY *= factor
    this.#sumYY *= factor
  }

  learn (x: number, y: number, weight: number): void {
    this.decay(1 - Math.min(1, weight) * DECAY_PER_WEIGHT)
    this.#weight += weight
    this.#sumX += weight * x
    this.#sumY += weight * y
    this.#sumXX += weight * x * x
    this.#sumXY += weight * x * y
    this.#sumYY += weight * y * y
  }

  /** Mean abscissa of the samples; 0 without any. */
  get centre (): number {
    return this.#weight > 0 ? this.#sumX / this.#weight : 0
  }

  /** Standard deviation of the abscissas. */
  get spread (): number {
    return this.#weight > 0 ? Math.sqrt(Math.max(0, this.#sumXX / this.#weight - this.centre ** 2)) : 0
  }

  /** Factor from 0 to 1 by which the mean is reduced where the samples scatter widely around it. */
  #significance (mean: number): number {
    const variance = Math.max(0, this.#sumYY / this.#weight - mean ** 2)
    return mean === 0 ? 0 : mean ** 2 / (mean ** 2 + variance / this.#weight)
  }

  /** Correction for this abscissa; 0 without samples. */
  at (x: number): number {
    if (this.#weight <= 0) return 0
    const mean = this.#sumY / this.#weight
    const slope = (this.#sumXY - this.#sumX * mean) / (this.#sumXX - this.#sumX * this.centre + this.#priorSpread)
    const trust = this.#weight / (this.#weight + this.#priorWeight)
    return (mean * this.#significance(mean) + slope * (x - this.centre)) * trust
  }
}

/**
 * Distribution of recent ratios. Two histograms overlap: both get every sample, and the one that is read is replaced
 * by the other, which began half a window later, as soon as it is full or too old.
 */
export class RecentRatios {
  readonly #maxAgeMs: number
  #read = createHistogram()
  #next = createHistogram()
  #readSinceMs: number
  #nextSinceMs: number
  #quantiles = new Map<number, number>()

  constructor (maxAgeMs: number, nowMs: number) {
    this.#maxAgeMs = maxAgeMs
    this.#readSinceMs = nowMs
    this.#nextSinceMs = nowMs
  }

  /** Weight of the samples in the distribution. */
  get weight (): number {
    return this.#read.totalCount / WEIGHT_UNITS
  }

  /** Records the logarithm of a ratio. */
  learn (logRatio: number, weight: number, nowMs: number): void {
    this.#discardOld(nowMs)
    const recorded = Math.min(MAX_RECORDED, Math.max(1, Math.round(Math.exp(logRatio) * RATIO_UNITS)))
    const count = Math.max(1, Math.round(weight * WEIGHT_UNITS))
    this.#read.recordValueWithCount(recorded, count)
    // The later histogram begins when the earlier one is half full.
    if (this.weight >= WINDOW_WEIGHT / 2 || this.#isHalfOld(nowMs)) {
      if (this.#next.totalCount === 0) this.#nextSinceMs = nowMs
      this.#next.recordValueWithCount(recorded, count)
    }
    this.#quantiles.clear()
  }

  /** Logarithm of the ratio that this share of the samples does not exceed; 0 without any. */
  quantile (share: number): number {
    if (this.#read.totalCount === 0) return 0
    const known = this.#quantiles.get(share)
    if (known !== undefined) return known
    const value = Math.log(this.#read.getValueAtPercentile(share * 100) / RATIO_UNITS)
    this.#quantiles.set(share, value)
    return value
  }

  #discardOld (nowMs: number): void {
    if (this.weight < WINDOW_WEIGHT && nowMs - this.#readSinceMs <= this.#maxAgeMs) return
    const emptied = this.#read
    emptied.reset()
    this.#read = this.#next
    this.#readSinceMs = this.#nextSinceMs
    this.#next = emptied
    this.#nextSinceMs = nowMs
    if (nowMs - this.#readSinceMs > this.#maxAgeMs) this.#read.reset()
    if (this.#read.totalCount === 0) this.#readSinceMs = nowMs
  }

  #isHalfOld (nowMs: number): boolean {
    return nowMs - this.#readSinceMs >= this.#maxAgeMs / 2
  }
}

function createHistogram (): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_RECORDED * 2,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
    useWebAssembly: false
  })
}
