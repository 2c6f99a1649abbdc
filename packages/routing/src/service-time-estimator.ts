/** Estimates service times by request class and assigns each request class to short or long work. */
import type { RoutingSettings } from './settings.js'

/** Work class of a request class: `long` if its requests typically take much longer than other requests. */
export type WorkClass = 'short' | 'long'

interface RequestClassStatistics {
  observationCount: number
  /** Mean of the logarithm of the service time; a single outlier hardly changes it. */
  logMean: number
  meanMs: number
  workClass: WorkClass
}

/** Weight of a new observation in the averages of its request class; the n-th of the first 20 has weight 1/n. */
const REQUEST_CLASS_SMOOTHING_FACTOR = 0.05
/** Weight of a new observation in the average of all request classes; the n-th of the first 500 has weight 1/n. */
const OVERALL_SMOOTHING_FACTOR = 0.002
/**
 * Observations of a request class before `hasEstimate` is true and its work class may change, as fewer say nothing
 * about the class. `typicalMs` and `meanMs` use the observations from the first one on.
 */
const MIN_OBSERVATIONS = 3

/**
 * Exponential moving averages of the service time of each request class.
 *
 * @example
 * const serviceTimes = new ServiceTimeEstimator(defaultRoutingSettings)
 * serviceTimes.observe('print/charge', 9)
 * serviceTimes.workClass('print/charge') // 'short'
 */
export class ServiceTimeEstimator {
  readonly #settings: RoutingSettings
  readonly #requestClasses = new Map<string, RequestClassStatistics>()
  #observationCount = 0
  #overallLogMean = 0

  constructor (settings: RoutingSettings) {
    this.#settings = settings
  }

  /** Records the service time of a completed request. */
  observe (requestClass: string, durationMs: number): void {
    // The minimum of 0.1 ms keeps the logarithm finite.
    const logDuration = Math.log(Math.max(durationMs, 0.1))
    this.#observationCount++
    this.#overallLogMean +=
      (logDuration - this.#overallLogMean) * Math.max(OVERALL_SMOOTHING_FACTOR, 1 / this.#observationCount)
    const statistics = this.#getOrCreate(requestClass)
    statistics.observationCount++
    const smoothingFactor = Math.max(REQUEST_CLASS_SMOOTHING_FACTOR, 1 / statistics.observationCount)
    statistics.logMean += (logDuration - statistics.logMean) * smoothingFactor
    statistics.meanMs += (durationMs - statistics.meanMs) * smoothingFactor
    statistics.workClass = this.#classify(statistics)
  }

  /** Records a request that took at least `durationMs`; ignored unless it shows that the estimate is too low. */
  observeLowerBound (requestClass: string, durationMs: number): void {
    if (durationMs > this.typicalMs(requestClass)) this.observe(requestClass, durationMs)
  }

  /** The work class of a request class; an unknown request class is short. */
  workClass (requestClass: string): WorkClass {
    return this.#requestClasses.get(requestClass)?.workClass ?? 'short'
  }

  /** Whether a request class has enough observations to derive attempt timeouts from its service time. */
  hasEstimate (requestClass: string): boolean {
    return (this.#requestClasses.get(requestClass)?.observationCount ?? 0) >= MIN_OBSERVATIONS
  }

  /** Geometric mean of the service times of a request class, which a single outlier hardly changes. */
  typicalMs (requestClass: string): number {
    const statistics = this.#requestClasses.get(requestClass)
    return statistics === undefined ? this.#settings.unknownServiceTimeMs : Math.exp(statistics.logMean)
  }

  /** Arithmetic mean of the service times of a request class: the expected cost of one request. */
  meanMs (requestClass: string): number {
    return this.#requestClasses.get(requestClass)?.meanMs ?? this.#settings.unknownServiceTimeMs
  }

  #classify (statistics: RequestClassStatistics): WorkClass {
    if (statistics.observationCount < MIN_OBSERVATIONS) return statistics.workClass
    const { longClassFactor, longClassMinMs, longClassHysteresis } = this.#settings
    const thresholdMs = Math.max(longClassMinMs, Math.exp(this.#overallLogMean) * longClassFactor)
    const typicalMs = Math.exp(statistics.logMean)
    if (typicalMs > thresholdMs) return 'long'
    return typicalMs < thresholdMs * longClassHysteresis ? 'short' : statistics.workClass
  }

  /**
   * Returns the statistics of a request class, created if needed, and moves them to the end of the map, which is kept
   * in order of last observation. If there are too many, the least recently observed one is evicted.
   */
  #getOrCreate (requestClass: string): RequestClassStatistics {
    const existing = this.#requestClasses.get(requestClass)
    const statistics = existing ?? { observationCount: 0, logMean: 0, meanMs: 0, workClass: 'short' as const }
    this.#requestClasses.delete(requestClass)
    this.#requestClasses.set(requestClass, statistics)
    if (this.#requestClasses.size > this.#settings.maxRequestClasses) this.#evictLeastRecentlyObserved()
    return statistics
  }

  #evictLeastRecentlyObserved (): void {
    const [leastRecentlyObserved] = this.#requestClasses.keys()
    if (leastRecentlyObserved !== undefined) this.#requestClasses.delete(leastRecentlyObserved)
  }
}
