/**
 * Speeds of workers, learned from the progress of their runs in comparison with other runs of the same step.
 *
 * Load pattern: a fleet in which some workers take twice as long as others, so that one of them doubles the run time of
 * a whole gang.
 */
import type { Metrics, EventLog } from '@comfreygrade/core'
import { stepKeyOf, type StepSpec } from './jobs.js'
import { SLOW_FROM } from './speed-tiers.js'
import { FULL_PROGRESS_PERCENT, type WorkerReport } from './worker-messages.js'
import { WorkerSpeeds, type SpecLookup } from './worker-speeds.js'
import type { RunProgress, WorkerView } from './worker-view.js'

/** Progress between two reports from which a rate is computed, since reports are rounded to whole percents. */
const MIN_WINDOW_PERCENT = 12
/** A slow run that makes less progress than that is rated after this time, if it has made `MIN_SLOW_PERCENT`. */
const SLOW_WINDOW_MS = 1_500
const MIN_SLOW_PERCENT = 4
/** Other runs of a step that a rate is compared with; the median of fewer is not robust against an outlier. */
const MIN_SIBLINGS = 3
const MAX_SIBLINGS = 32
/** Rates of a step are compared within this time, since callers' data may make later parts of a step differ. */
const RATE_MAX_AGE_MS = 10_000
/** Runs by which a worker is rated; a run counts once, with its latest rate. */
const MAX_SAMPLES = 8
const SAMPLE_DECAY_MS = 30_000
const MIN_SAMPLE_WEIGHT = 0.05
/** Weight of the assumption that a worker is typical, in runs. */
const PRIOR_WEIGHT = 1
/**
 * Where two rates in a row differ from what is known of the worker by this much in the same direction, its speed has
 * changed. Differences between the tasks of a step are rarely as large.
 */
const CHANGE_LOG_SLOWDOWN = 0.7
/** Bounds of the slowdown, so that no wrong progress makes a worker look useless. */
const MAX_LOG_SLOWDOWN = Math.log(6)
/**
 * Share of slow workers from which speeds count, and below which they no longer do. On a fleet of like workers,
 * where a few look slow by chance, decisions are the same as without learned speeds.
 */
const UNEVEN_FROM_SLOW_SHARE = 0.08
const EVEN_BELOW_SLOW_SHARE = 0.04
const SWEEP_INTERVAL_MS = 1_000
const MAX_STEPS = 4_096
/** Slowdown from which a worker is logged as slow, and below which it is logged as no longer slow. */
const LOGGED_AS_SLOW_FROM = 1.5
const LOGGED_AS_SLOW_UNTIL = 1.25

/** Part of a run from which its next rate is computed. */
interface RateWindow {
  percent: number
  clockMs: number
  /** Whether progress was seen; a gang member makes none while it waits for the others. */
  hasStarted: boolean
}

interface Rate {
  readonly workerKey: string
  readonly rack: string
  /** Logarithm of the percents per millisecond. */
  readonly logRate: number
  readonly atMs: number
}

interface SpeedSample {
  logSlowdown: number
  atMs: number
}

interface WorkerRecord {
  /** By run; the oldest first. */
  readonly samples: Map<RunProgress, SpeedSample>
  logSlowdown: number
  /** Whether the latest rate was much lower (1) or higher (-1) than expected, otherwise 0. */
  latestDeviation: number
  isLoggedAsSlow: boolean
}

interface Options {
  readonly metrics: Metrics
  readonly log: EventLog
}

/**
 * The rate of a run depends on its step and its worker. The part of the step is the median over its runs, each
 * corrected by what is known of its worker; what is left is a sample of the worker's slowdown. Samples of the latest
 * runs are combined by their weighted median.
 */
export class LearnedWorkerSpeeds extends WorkerSpeeds {
  readonly #options: Options
  readonly #windows = new WeakMap<RunProgress, RateWindow>()
  /** Latest rates of the runs of a step, by task. */
  readonly #ratesByStep = new Map<string, Map<string, Rate>>()
  readonly #workers = new Map<string, WorkerRecord>()
  /** Median over the fleet, which counts as a slowdown of 1. */
  #typicalLogSlowdown = 0
  #sweptAtMs = -Infinity
  /** Whether enough workers are slow for their speeds to count. */
  #isFleetUneven = false

  constructor (options: Options) {
    super()
    this.#options = options
  }

  override slowdownOf (worker: Pick<WorkerReport, 'workerId' | 'vmId' | 'incarnation'>): number {
    const record = this.#workers.get(workerKeyOf(worker))
    return record === undefined || !this.#isFleetUneven ? 1 : Math.exp(record.logSlowdown - this.#typicalLogSlowdown)
  }

  override observe (view: WorkerView, nowMs: number, specOf: SpecLookup): void {
    if (nowMs - this.#sweptAtMs >= SWEEP_INTERVAL_MS) this.#sweep(nowMs)
    for (const progress of view.progress.values()) {
      const logRate = this.#rateOf(progress, view.latest)
      if (logRate !== undefined) this.#learn(view.latest, progress, logRate, nowMs, specOf)
    }
  }

  /** Returns the logarithm of a run's rate where enough progress was made since the last one. */
  #rateOf (progress: RunProgress, { clockMs, coldRemainingMs }: WorkerReport): number | undefined {
    const { percent } = progress
    const window = this.#windows.get(progress)
    const elapsedMs = window === undefined ? 0 : clockMs - window.clockMs
    const progressed = window === undefined ? 0 : percent - window.percent
    if (window === undefined || !window.hasStarted || progressed < 0 || coldRemainingMs > 0) {
      this.#windows.set(progress, { percent, clockMs, hasStarted: progressed > 0 && coldRemainingMs <= 0 })
      return undefined
    }
    // A run at full progress may have reached it any time before the report.
    if (percent >= FULL_PROGRESS_PERCENT || elapsedMs <= 0) return undefined
    const isSlow = elapsedMs >= SLOW_WINDOW_MS && progressed >= MIN_SLOW_PERCENT
    if (progressed < MIN_WINDOW_PERCENT && !isSlow) return undefined
    this.#windows.set(progress, { percent, clockMs, hasStarted: true })
    return Math.log(progressed / elapsedMs)
  }

  #learn (report: WorkerReport, progress: RunProgress, logRate: number, nowMs: number, specOf: SpecLookup): void {
    const spec = specOf(progress.taskKey)
    if (spec === undefined || !isComparable(spec, report)) return
    const rate = { workerKey: workerKeyOf(report), rack: report.rack, logRate, atMs: nowMs }
    const siblings = this.#recordRate(progress.taskKey, rate)
    if (siblings.length < MIN_SIBLINGS) return
    // A same-rack gang that is spread over several racks runs at the speed of its links.
    if (spec.isGang && spec.isSameRack && siblings.some(({ rack }) => rack !== report.rack)) return
    const typicalLogRate = median(siblings.map(sibling => sibling.logRate + this.#logSlowdown(sibling.workerKey)))
    this.#addSample(rate.workerKey, progress, typicalLogRate - logRate, nowMs)
    this.#logChange(rate.workerKey, report)
  }

  /** Records the rate of a task; returns the recent rates of the other runs of its step, on other workers. */
  #recordRate (taskKey: string, rate: Rate): Rate[] {
    const rates = this.#ratesOf(stepKeyOf(taskKey))
    rates.delete(taskKey)
    rates.set(taskKey, rate)
    if (rates.size > MAX_SIBLINGS) rates.delete(rates.keys().next().value as string)
    return [...rates.values()].filter(({ workerKey, atMs }) =>
      workerKey !== rate.workerKey && rate.atMs - atMs <= RATE_MAX_AGE_MS)
  }

  #ratesOf (stepKey: string): Map<string, Rate> {
    const rates = this.#ratesByStep.get(stepKey) ?? new Map<string, Rate>()
    // The steps are kept in the order of their latest rates.
    this.#ratesByStep.delete(stepKey)
    this.#ratesByStep.set(stepKey, rates)
    if (this.#ratesByStep.size > MAX_STEPS) this.#ratesByStep.delete(this.#ratesByStep.keys().next().value as string)
    return rates
  }

  #logSlowdown (workerKey: string): number {
    return this.#workers.get(workerKey)?.logSlowdown ?? this.#typicalLogSlowdown
  }

  #addSample (workerKey: string, progress: RunProgress, logSlowdown: number, nowMs: number): void {
    const record = this.#workers.get(workerKey) ??
      { samples: new Map(), logSlowdown: this.#typicalLogSlowdown, latestDeviation: 0, isLoggedAsSlow: false }
    this.#workers.set(workerKey, record)
    const difference = logSlowdown - record.logSlowdown
    const deviation = Math.abs(difference) < CHANGE_LOG_SLOWDOWN ? 0 : Math.sign(difference)
    if (deviation !== 0 && deviation === record.latestDeviation) record.samples.clear()
    record.latestDeviation = deviation
    record.samples.delete(progress)
    record.samples.set(progress, { logSlowdown, atMs: nowMs })
    if (record.samples.size > MAX_SAMPLES) record.samples.delete(record.samples.keys().next().value as RunProgress)
    record.logSlowdown = estimateLogSlowdown([...record.samples.values()], this.#typicalLogSlowdown, nowMs)
  }

  #logChange (workerKey: string, { workerId }: WorkerReport): void {
    const record = this.#workers.get(workerKey) as WorkerRecord
    const slowdown = Math.exp(record.logSlowdown - this.#typicalLogSlowdown)
    const isSlow = slowdown >= (record.isLoggedAsSlow ? LOGGED_AS_SLOW_UNTIL : LOGGED_AS_SLOW_FROM)
    if (isSlow === record.isLoggedAsSlow) return
    record.isLoggedAsSlow = isSlow
    const slowdownPercent = Math.round(slowdown * 100)
    this.#options.metrics.increment(isSlow ? 'worker.slow' : 'worker.no_longer_slow')
    this.#options.log.info(isSlow ? 'worker is slow' : 'worker is no longer slow', { workerId, slowdownPercent })
  }

  #sweep (nowMs: number): void {
    this.#sweptAtMs = nowMs
    this.#removeExpired(nowMs)
    if (this.#workers.size > 0) this.#updateTypicalSlowdown()
  }

  #removeExpired (nowMs: number): void {
    for (const [stepKey, rates] of this.#ratesByStep) {
      if ([...rates.values()].every(({ atMs }) => nowMs - atMs > RATE_MAX_AGE_MS)) this.#ratesByStep.delete(stepKey)
    }
    for (const [workerKey, record] of this.#workers) {
      for (const [run, sample] of record.samples) {
        if (weightOf(sample, nowMs) < MIN_SAMPLE_WEIGHT) record.samples.delete(run)
      }
      if (record.samples.size === 0) this.#workers.delete(workerKey)
    }
  }

  /** Updates the median over the fleet, and whether enough workers are slow for their speeds to count. */
  #updateTypicalSlowdown (): void {
    const logSlowdowns = [...this.#workers.values()].map(({ logSlowdown }) => logSlowdown)
    this.#typicalLogSlowdown = median(logSlowdowns)
    const minLogSlowdown = this.#typicalLogSlowdown + Math.log(SLOW_FROM)
    const slowShare = logSlowdowns.filter(logSlowdown => logSlowdown >= minLogSlowdown).length / logSlowdowns.length
    this.#isFleetUneven = slowShare >= (this.#isFleetUneven ? EVEN_BELOW_SLOW_SHARE : UNEVEN_FROM_SLOW_SHARE)
  }
}

/** A VM keeps its speed when its worker starts again; where the VM is not known, each incarnation is new. */
function workerKeyOf ({ workerId, vmId, incarnation }: Pick<WorkerReport, 'workerId' | 'vmId' | 'incarnation'>): string {
  return vmId === '' ? `${workerId}#${incarnation}` : vmId
}

/** Fillers work at the pace that they are given, lasting tasks have no end, and remote data slows a run down. */
function isComparable (spec: StepSpec, { rack }: WorkerReport): boolean {
  return !spec.isLasting && !spec.isFiller && (spec.dataRack === '' || spec.dataRack === rack)
}

function weightOf ({ atMs }: SpeedSample, nowMs: number): number {
  return Math.exp((atMs - nowMs) / SAMPLE_DECAY_MS)
}

/** Weighted median of the samples, shrunk towards the typical worker where they have little weight. */
function estimateLogSlowdown (samples: readonly SpeedSample[], typicalLogSlowdown: number, nowMs: number): number {
  const weighted = samples
    .map(sample => ({ value: sample.logSlowdown, weight: weightOf(sample, nowMs) }))
    .sort((left, right) => left.value - right.value)
  const total = weighted.reduce((sum, { weight }) => sum + weight, 0)
  const centre = weightedMedian(weighted, total)
  const offset = (centre - typicalLogSlowdown) * total / (total + PRIOR_WEIGHT)
  return typicalLogSlowdown + Math.max(-MAX_LOG_SLOWDOWN, Math.min(MAX_LOG_SLOWDOWN, offset))
}

function weightedMedian (sorted: ReadonlyArray<{ value: number, weight: number }>, total: number): number {
  let below = 0
  let lower: number | undefined
  for (const { value, weight } of sorted) {
    below += weight
    // At half of the weight exactly, the median lies between two values.
    if (lower !== undefined) return (lower + value) / 2
    if (below > total / 2) return value
    if (below === total / 2) lower = value
  }
  return lower ?? 0
}

function median (values: number[]): number {
  values.sort((left, right) => left - right)
  const middle = values.length >> 1
  const upper = values[middle] ?? 0
  return values.length % 2 === 1 ? upper : ((values[middle - 1] ?? 0) + upper) / 2
}
