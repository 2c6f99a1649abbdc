/** Classes of work learned from observed service times. */
import type { RoutingSettings } from './settings.js'

/** Whether a class of requests usually takes much longer than the rest. */
export type WorkClass = 'short' | 'long'

interface ClassTimes {
  observations: number
  /** Mean of the logarithm of the time, which one outlier hardly moves. */
  logMean: number
  meanMs: number
  workClass: WorkClass
}

/** Weight of one observation of a class once there are many. */
const CLASS_WEIGHT = 0.05
/** Weight of one observation in the average of all classes. */
const OVERALL_WEIGHT = 0.002
/** Fewer observations than this say nothing about a class. */
const MIN_OBSERVATIONS = 3

/**
 * Observed service times by request class.
 *
 * @example
 * classes.observe('print/charge', 9)
 * classes.workClass('print/charge') // 'short'
 */
export class ServiceClasses {
  readonly #settings: RoutingSettings
  readonly #classes = new Map<string, ClassTimes>()
  #observations = 0
  #overallLogMean = 0

  constructor (settings: RoutingSettings) {
    this.#settings = settings
  }

  /** Takes the time of one completed request. */
  observe (requestClass: string, durationMs: number): void {
    const log = Math.log(Math.max(durationMs, 0.1))
    this.#observations++
    this.#overallLogMean += (log - this.#overallLogMean) * Math.max(OVERALL_WEIGHT, 1 / this.#observations)
    const times = this.#touch(requestClass)
    times.observations++
    const weight = Math.max(CLASS_WEIGHT, 1 / times.observations)
    times.logMean += (log - times.logMean) * weight
    times.meanMs += (durationMs - times.meanMs) * weight
    times.workClass = this.#classify(times)
  }

  /** Takes a request that ran for at least `durationMs`; counts only where it shows that the estimate is too low. */
  observeAtLeast (requestClass: string, durationMs: number): void {
    if (durationMs > this.typicalMs(requestClass)) this.observe(requestClass, durationMs)
  }

  /** Whether a class is long; an unknown class is short. */
  workClass (requestClass: string): WorkClass {
    return this.#classes.get(requestClass)?.workClass ?? 'short'
  }

  /** Whether enough was observed to predict anything. */
  isKnown (requestClass: string): boolean {
    return (this.#classes.get(requestClass)?.observations ?? 0) >= MIN_OBSERVATIONS
  }

  /** Geometric mean of the times of a class. */
  typicalMs (requestClass: string): number {
    const times = this.#classes.get(requestClass)
    return times === undefined ? this.#settings.unknownServiceTimeMs : Math.exp(times.logMean)
  }

  /** Mean time of a class: the work that one request stands for. */
  meanMs (requestClass: string): number {
    return this.#classes.get(requestClass)?.meanMs ?? this.#settings.unknownServiceTimeMs
  }

  #classify (times: ClassTimes): WorkClass {
    if (times.observations < MIN_OBSERVATIONS) return times.workClass
    const { longClassFactor, longClassMinMs, longClassHysteresis } = this.#settings
    const limitMs = Math.max(longClassMinMs, Math.exp(this.#overallLogMean) * longClassFactor)
    const typicalMs = Math.exp(times.logMean)
    if (typicalMs > limitMs) return 'long'
    return typicalMs < limitMs * longClassHysteresis ? 'short' : times.workClass
  }

  /** Moves a class to the end of the map, whose order is that of use. */
  #touch (requestClass: string): ClassTimes {
    const known = this.#classes.get(requestClass)
    const times = known ?? { observations: 0, logMean: 0, meanMs: 0, workClass: 'short' as const }
    this.#classes.delete(requestClass)
    this.#classes.set(requestClass, times)
    if (this.#classes.size > this.#settings.maxRequestClasses) this.#forgetOldest()
    return times
  }

  #forgetOldest (): void {
    const [oldest] = this.#classes.keys()
    if (oldest !== undefined) this.#classes.delete(oldest)
  }
}
