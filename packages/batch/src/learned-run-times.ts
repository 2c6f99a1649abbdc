/** Run times learned from ended runs. */
import type { Clock } from '@comfreygrade/core'
import type { JobRecord } from './job-record.js'
import type { StepSpec } from './jobs.js'
import { RecentRatios, ShrunkenLine } from './run-time-model.js'
import { RunTimePredictor, type RunSample, type RunTimePrediction } from './run-time-predictor.js'

/** Time after which a sample counts half, and after which a distribution is discarded for a newer one. */
const HALF_LIFE_MS = 120_000
/** Most kinds of work that are remembered; those that were used longest ago are forgotten first. */
const MAX_KINDS = 4_096
/** Most callers (an organisation at a queue) that are remembered. A caller takes about 17 kB, a kind 300 bytes. */
const MAX_CALLERS = 512
const MAX_QUEUES = 128
/** Share of the run times that `highMs` of a prediction covers. */
const HIGH_SHARE = 0.9
const MIN_RUN_MS = 1
/**
 * Weights, in steps, at which half of the correction of a group is applied. They are higher for narrower groups, whose
 * few samples may differ from those of the wider group by chance.
 */
const QUEUE_PRIOR_WEIGHT = 3
const CALLER_PRIOR_WEIGHT = 12
const KIND_PRIOR_WEIGHT = 20
/** See {@link ShrunkenLine}; in squares of logarithms of estimates. */
const PRIOR_SPREAD = 1.5
/** Weight from which a distribution counts more than that of the wider group. */
const RATIOS_PRIOR_WEIGHT = 10
/** Up to this many standard deviations, a long estimate is corrected towards the usual ones like a short one. */
const USUAL_SPREAD_FACTOR = 1.5
/** Shares of the run times at which the time of a run that was cut short is compared with the distribution. */
const CUT_SHORT_SHARES = [0.5, 0.6, 0.7, 0.8, 0.9]

/** What is known about one group of work, relative to the wider group. */
interface Group {
  readonly line: ShrunkenLine
  readonly ratios?: RecentRatios
  learnedAtMs: number
}

/** The groups of a step, from the widest to the narrowest. */
interface Groups {
  readonly queue: QueueGroup
  readonly caller: Required<Group>
  readonly kind: Group
}

interface QueueGroup extends Required<Group> {
  /** Centre and spread of the logarithms of the estimates; the ordinates are not used. */
  readonly estimates: ShrunkenLine
  /** Increases with each sample of the queue, so that predictions made before are computed again. */
  version: number
}

interface KnownStep {
  readonly groups: Groups
  readonly version: number
  readonly prediction: RunTimePrediction
}

/**
 * Corrects the callers' estimates by what their runs have taken, in three stages: the queue, the organisation at the
 * queue, and the kind of task (image and shape) of that organisation. Each stage corrects what the wider one leaves,
 * and few samples count little. The correction depends on the estimate, since an unusual estimate is more often wrong:
 * short ones are corrected towards the usual run times in proportion, so that a caller gains nothing by estimates that
 * are too short. Estimates that are far longer than usual are believed, since some jobs are.
 *
 * Load pattern: callers' estimates that are wrong by a factor, systematically or not.
 */
export class LearnedRunTimes extends RunTimePredictor {
  readonly #clock: Clock
  readonly #queues = new Map<string, QueueGroup>()
  readonly #callers = new Map<string, Required<Group>>()
  readonly #kinds = new Map<string, Group>()
  /** Passes read the prediction of every waiting step, so it is kept until the next sample of its queue. */
  readonly #known = new WeakMap<StepSpec, KnownStep>()

  constructor (clock: Clock) {
    super()
    this.#clock = clock
  }

  override predict (job: JobRecord, stepIndex: number): RunTimePrediction {
    const spec = job.spec.steps[stepIndex]
    if (spec === undefined) return callersEstimate(0)
    const known = this.#known.get(spec)
    if (known !== undefined && known.version === known.groups.queue.version) return known.prediction
    const groups = known?.groups ?? this.#groupsOf(job, spec)
    const prediction = predictIn(groups, spec)
    this.#known.set(spec, { groups, version: groups.queue.version, prediction })
    return prediction
  }

  override learn ({ job, stepIndex, runMs, kind }: RunSample): void {
    const spec = job.spec.steps[stepIndex]
    if (spec === undefined || spec.isLasting || spec.isFiller || !(runMs > 0)) return
    const groups = this.#groupsOf(job, spec)
    const logRunMs = Math.log(Math.max(MIN_RUN_MS, runMs))
    if (kind === 'finished') return this.#learnIn(groups, spec, logRunMs)
    const expectedLogRunMs = expectedBeyond(groups, spec, logRunMs)
    if (expectedLogRunMs !== undefined) this.#learnIn(groups, spec, expectedLogRunMs)
  }

  /** The tasks of a step share its estimate and most of its error, so together they count as one sample. */
  #learnIn (groups: Groups, spec: StepSpec, logRunMs: number): void {
    const { queue, caller, kind } = groups
    const nowMs = this.#clock.monotonicMs()
    const weight = 1 / spec.taskCount
    for (const group of [queue, caller, kind]) age(group, nowMs)
    const logEstimate = logEstimateOf(spec)
    const x = abscissaOf(queue, logEstimate)
    const logRatio = logRunMs - logEstimate
    const byQueue = queue.line.at(x)
    const byCaller = byQueue + caller.line.at(x)
    const predicted = byCaller + kind.line.at(x)
    queue.estimates.learn(logEstimate, 0, weight)
    queue.line.learn(x, logRatio, weight)
    caller.line.learn(x, logRatio - byQueue, weight)
    kind.line.learn(x, logRatio - byCaller, weight)
    queue.ratios.learn(logRatio - predicted, weight, nowMs)
    caller.ratios.learn(logRatio - predicted, weight, nowMs)
    queue.version++
  }

  #groupsOf ({ queueAddress, organisation }: JobRecord, { image, shape }: StepSpec): Groups {
    const nowMs = this.#clock.monotonicMs()
    const { cpuMillicores, memoryMb, acceleratorCount } = shape
    const callerKey = JSON.stringify([queueAddress, organisation])
    const kindKey = JSON.stringify([queueAddress, organisation, image, cpuMillicores, memoryMb, acceleratorCount])
    return {
      queue: getOrCreate(this.#queues, queueAddress, MAX_QUEUES, () => createQueueGroup(nowMs)),
      caller: getOrCreate(this.#callers, callerKey, MAX_CALLERS, () => createGroup(CALLER_PRIOR_WEIGHT, nowMs)),
      kind: getOrCreate(this.#kinds, kindKey, MAX_KINDS, () =>
        ({ line: createLine(KIND_PRIOR_WEIGHT), learnedAtMs: nowMs }))
    }
  }
}

function callersEstimate (estimateMs: number): RunTimePrediction {
  return { typicalMs: estimateMs, objectiveMs: estimateMs, highMs: estimateMs, sampleCount: 0 }
}

function createLine (priorWeight: number): ShrunkenLine {
  return new ShrunkenLine(priorWeight, PRIOR_SPREAD)
}

function createGroup (priorWeight: number, nowMs: number): Required<Group> {
  return { line: createLine(priorWeight), ratios: new RecentRatios(2 * HALF_LIFE_MS, nowMs), learnedAtMs: nowMs }
}

function createQueueGroup (nowMs: number): QueueGroup {
  return { ...createGroup(QUEUE_PRIOR_WEIGHT, nowMs), estimates: createLine(0), version: 0 }
}

/** Returns the entry of a key, created where it is missing; evicts the least recently used ones beyond `maxCount`. */
function getOrCreate<Value> (entries: Map<string, Value>, key: string, maxCount: number, create: () => Value): Value {
  const value = entries.get(key) ?? create()
  entries.delete(key)
  entries.set(key, value)
  for (const oldest of entries.keys()) {
    if (entries.size <= maxCount) break
    entries.delete(oldest)
  }
  return value
}

function age (group: Group & { readonly estimates?: ShrunkenLine }, nowMs: number): void {
  const factor = 0.5 ** ((nowMs - group.learnedAtMs) / HALF_LIFE_MS)
  group.learnedAtMs = nowMs
  group.line.decay(factor)
  group.estimates?.decay(factor)
}

function logEstimateOf ({ estimateMs }: StepSpec): number {
  return Math.log(Math.max(MIN_RUN_MS, estimateMs))
}

/**
 * How far an estimate is from the usual ones of its queue. A short estimate counts in full. A long one counts less and
 * less beyond `USUAL_SPREAD_FACTOR`, since long jobs are rare but their estimates are right more often than not.
 */
function abscissaOf ({ estimates }: QueueGroup, logEstimate: number): number {
  const distance = logEstimate - estimates.centre
  const usual = estimates.spread * USUAL_SPREAD_FACTOR
  return Math.min(distance, Math.max(0, 2 * usual - distance))
}

function predictIn (groups: Groups, spec: StepSpec): RunTimePrediction {
  const { queue, caller } = groups
  if (queue.line.weight <= 0) return callersEstimate(spec.estimateMs)
  const centre = logCentre(groups, spec)
  const typicalMs = Math.exp(centre + logQuantile(groups, 0.5))
  const highMs = Math.max(typicalMs, Math.exp(centre + logQuantile(groups, HIGH_SHARE)))
  const objectiveMs = Math.max(spec.estimateMs, Math.exp(logUnbiased(groups, spec) + logQuantile(groups, 0.5)))
  return { typicalMs, objectiveMs, highMs, sampleCount: Math.max(queue.line.weight, caller.line.weight) }
}

function logCentre ({ queue, caller, kind }: Groups, spec: StepSpec): number {
  const logEstimate = logEstimateOf(spec)
  const x = abscissaOf(queue, logEstimate)
  return logEstimate + queue.line.at(x) + caller.line.at(x) + kind.line.at(x)
}

/**
 * Logarithm of the estimate without the error of the usual estimates of its caller. One that is shorter than nearly all
 * of the queue counts as one at the bound of the usual ones, so that a caller gains little by a few such estimates.
 */
function logUnbiased ({ queue, caller, kind }: Groups, spec: StepSpec): number {
  const { centre, spread } = queue.estimates
  const logEstimate = Math.max(logEstimateOf(spec), centre - spread * USUAL_SPREAD_FACTOR)
  const { weight } = caller.line
  const usualOfCaller = caller.line.centre * weight / (weight + CALLER_PRIOR_WEIGHT)
  return logEstimate + queue.line.at(usualOfCaller) + caller.line.at(usualOfCaller) + kind.line.at(usualOfCaller)
}

/**
 * Quantile of what the lines leave. The median is that of the queue, since the line of the caller already has the
 * caller's offset; the distance from it is by caller, shrunk towards that of the queue, and that towards none.
 */
function logQuantile ({ queue, caller }: Groups, share: number): number {
  const median = shrunk(queue.ratios, queue.ratios.quantile(0.5), 0)
  const byQueue = shrunk(queue.ratios, distanceFromMedian(queue.ratios, share), 0)
  return median + shrunk(caller.ratios, distanceFromMedian(caller.ratios, share), byQueue)
}

function distanceFromMedian (ratios: RecentRatios, share: number): number {
  return ratios.quantile(share) - ratios.quantile(0.5)
}

function shrunk (ratios: RecentRatios, value: number, prior: number): number {
  return prior + (value - prior) * ratios.weight / (ratios.weight + RATIOS_PRIOR_WEIGHT)
}

/**
 * Expected run time of a run that was cut short: the median of those that take longer. Undefined where it had not run
 * for the typical time, since it says little then.
 */
function expectedBeyond (groups: Groups, spec: StepSpec, logBound: number): number | undefined {
  const centre = logCentre(groups, spec)
  const shareBelow = CUT_SHORT_SHARES.findLast(share => centre + logQuantile(groups, share) < logBound)
  if (shareBelow === undefined) return undefined
  return Math.max(logBound, centre + logQuantile(groups, (1 + shareBelow) / 2))
}
