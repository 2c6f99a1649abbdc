/** Estimates service times by request class and separates short from long classes. */
import type { RoutingSettings } from './settings.js'

/** Whether the requests of a class typically take much longer than other requests. */
export type WorkClass = 'short' | 'long'

interface ClassStatistics {
  observationCount: number
  /** Mean of the logarithm of the service time; a single outlier hardly changes it. */
  logMean: number
  meanMs: number
  workClass: WorkClass
}

/** Weight of a new observation in the averages of its class, once there are enough observations. */
const CLASS_SMOOTHING_FACTOR = 0.05
/** Weight of a new observation in the average of all classes, once there are enough observations. */
const OVERALL_SMOOTHING_FACTOR = 0.002
/** Observations of a class that are needed for an estimate. */
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
  readonly #classes = new Map<string, ClassStatistics>()
  #observationCount = 0
  #overallLogMean = 0

  constructor (settings: RoutingSettings) {
    this.#settings = settings
  }

  /** Records the service time of a completed request. */
  observe (requestClass: string, durationMs: number): void {
    const logDuration = Math.log(Math.max(durationMs, 0.1))
    this.#observationCount++
    this.#overallLogMean +=
      (logDuration - this.#overallLogMean) * Math.max(OVERALL_SMOOTHING_FACTOR, 1 / this.#observationCount)
    const statistics = this.#touch(requestClass)
    statistics.observationCount++
    const smoothingFactor = Math.max(CLASS_SMOOTHING_FACTOR, 1 / statistics.observationCount)
    statistics.logMean += (logDuration - statistics.logMean) * smoothingFactor
    statistics.meanMs += (durationMs - statistics.meanMs) * smoothingFactor
    statistics.workClass = this.#classify(statistics)
  }

  /** Records a request that took at least `durationMs`; ignored unless it shows that the estimate is too low. */
  observeLowerBound (requestClass: string, durationMs: number): void {
    if (durationMs > this.typicalMs(requestClass)) this.observe(requestClass, durationMs)
  }

  /** The class of work of a request class; an unknown request class is short. */
  workClass (requestClass: string): WorkClass {
    return this.#classes.get(requestClass)?.workClass ?? 'short'
  }

  /** Whether a request class has enough observations for an estimate. */
  hasEstimate (requestClass: string): boolean {
    return (this.#classes.get(requestClass)?.observationCount ?? 0) >= MIN_OBSERVATIONS
  }

  /** Geometric mean of the service times of a request class. */
  typicalMs (requestClass: string): number {
    const statistics = this.#classes.get(requestClass)
    return statistics === undefined ? this.#settings.unknownServiceTimeMs : Math.exp(statistics.logMean)
  }

  /** Arithmetic mean of the service times of a request class: the expected cost of one request. */
  meanMs (requestClass: string): number {
    return this.#classes.get(requestClass)?.meanMs ?? this.#settings.unknownServiceTimeMs
  }

  #classify (statistics: ClassStatistics): WorkClass {
    if (statistics.observationCount < MIN_OBSERVATIONS) return statistics.workClass
    const { longClassFactor, longClassMinMs, longClassHysteresis } = this.#settings
    const thresholdMs = Math.max(longClassMinMs, Math.exp(this.#overallLogMean) * longClassFactor)
    const typicalMs = Math.exp(statistics.logMean)
    if (typicalMs > thresholdMs) return 'long'
    return typicalMs < thresholdMs * longClassHysteresis ? 'short' : statistics.workClass
  }

  /** Moves a class to the end of the map, which is kept in order of last use. */
  #touch (requestClass: string): ClassStatistics {
    const existing = this.#classes.get(requestClass)
    const statistics = existing ?? { observationCount: 0, logMean: 0, meanMs: 0, workClass: 'short' as const }
    this.#classes.delete(requestClass)
    this.#classes.set(requestClass, statistics)
    if (this.#classes.size > this.#settings.maxRequestClasses) this.#evictLeastRecentlyUsed()
    return statistics
  }

  #evictLeastRecentlyUsed (): void {
    const [leastRecentlyUsed] = this.#classes.keys()
    if (leastRecentlyUsed !== undefined) this.#classes.delete(leastRecentlyUsed)
  }
}
