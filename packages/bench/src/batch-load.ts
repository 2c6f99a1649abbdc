/** Seeded jobs for the batch scheduler: urgent gangs, large gangs and wide steps of small independent tasks. */
import { Random } from '@comfreygrade/core'
import type { StepSpec, TaskShape } from '@comfreygrade/batch'

/**
 * Distribution of the jobs of one kind, with means of data supplied by users. A job is within its objective if it ends
 * at most `slackFactor` times its run time plus `targetLatencyMs` after its arrival.
 */
export interface JobKind {
  readonly name: string
  /** Path prefix of its queue. */
  readonly pathPrefix: string
  readonly priority: number
  readonly arrivalsPerSecond: number
  readonly meanRunMs: number
  /** Standard deviation of the logarithm of the run time. */
  readonly runLogSigma: number
  /** Largest error of the caller's run-time estimate, as a difference of logarithms; the error is uniform. */
  readonly estimateLogRange: number
  readonly meanTasks: number
  readonly maxTasks: number
  /** Standard deviation of the logarithm of the run times of one job's tasks. */
  readonly taskLogSigma: number
  /** Share of the jobs with a second step like the first one, which depends on it; absent for none. */
  readonly secondStepShare?: number
  readonly shape: Omit<TaskShape, 'acceleratorCount'>
  /** Accelerators per task, drawn uniformly; a repeated value is drawn more often. */
  readonly acceleratorChoices: readonly number[]
  readonly isGang: boolean
  readonly sameRackShare: number
  readonly checkpointingShare: number
  /** Share of the first runs that fail, each at a random point of its work. */
  readonly failureShare: number
  /** Jobs that arrive `INITIAL_JOBS_MS` before the others and do not count, so that the fleet is in use by then. */
  readonly initialJobs: number
  readonly targetLatencyMs: number
  readonly slackFactor: number
  /** Value to the caller of a job of average size that ends within its objective. */
  readonly value: number
  /** The same for a job that ends late. */
  readonly lateValue: number
}

export interface SimulatedJob {
  readonly jobId: string
  readonly kind: JobKind
  readonly organisationIndex: number
  readonly arrivesAtMs: number
  readonly step: StepSpec
  /** Number of steps like `step`, each of which depends on the one before it. */
  readonly stepCount: number
  /** Mean run time of its tasks on a worker of speed 1. */
  readonly runMs: number
  /** Run times of the tasks relative to the mean, by index. */
  readonly taskFactors: readonly number[]
  /** Tasks whose first run fails, by index, and the share of its work after which it does. */
  readonly failures: ReadonlyMap<number, number>
}

/** Value of a job of average size is that of its kind; this share of it does not depend on the size. */
const FIXED_VALUE_SHARE = 0.3
const MAX_SIZE_FACTOR = 4

/**
 * Factor on a job's value by its size, that is its run time times its tasks relative to the means of its kind.
 *
 * @example
 * const value = job.kind.value * sizeFactor(job)
 */
export function sizeFactor ({ kind, runMs, step, stepCount }: SimulatedJob): number {
  const meanSteps = 1 + (kind.secondStepShare ?? 0)
  const relativeWork = runMs * step.taskCount * stepCount / (kind.meanRunMs * kind.meanTasks * meanSteps)
  return Math.min(MAX_SIZE_FACTOR, FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * relativeWork)
}

/** A small share of jobs runs this many times as long as drawn from their kind's distribution. */
const LONG_RUN_FACTOR = 7
const LONG_RUN_SHARE = 0.03
const TASK_COUNT_LOG_SIGMA = 0.8
/** Time from the initial jobs to the beginning of the other arrivals. */
export const INITIAL_JOBS_MS = 8_000
const DISCARDED_DRAWS = 20

/** What the workers of a fleet are like. */
export interface FleetShape {
  readonly workerCapacity: TaskShape
  readonly workersPerRack: number
  /** The racks are spread evenly over this many availability zones. */
  readonly zones: number
  /** Speeds of the workers, drawn uniformly; a repeated value is drawn more often. */
  readonly workerSpeeds: readonly number[]
}

export const defaultFleetShape: FleetShape = {
  workerCapacity: { cpuMillicores: 64_000, memoryMb: 262_144, acceleratorCount: 8 },
  workersPerRack: 8,
  zones: 1,
  workerSpeeds: [0.8, 1, 1.25]
}

/** Organisations that submit jobs, and how their demand differs and varies. */
export interface Demand {
  readonly organisations: number
  /** Demand of an organisation as a multiple of that of the one before it. */
  readonly demandRatio: number
  /** Undefined where the demand does not vary. */
  readonly waves: DemandWaves | undefined
}

/**
 * Recurring peaks of demand that reach one availability zone after the other. The organisations are assigned to the
 * zones in turn.
 */
export interface DemandWaves {
  readonly zones: number
  readonly periodMs: number
  readonly peakMs: number
  readonly peakFactor: number
}

export const defaultDemand: Demand = { organisations: 4, demandRatio: 1, waves: undefined }

/** Job kinds with the arrival rates of a busy day on 33 workers, of whose accelerator time they need about 86 %. */
export const defaultJobKinds: readonly JobKind[] = [
  {
    name: 'large gang',
    pathPrefix: '/large/',
    priority: 1,
    arrivalsPerSecond: 0.6,
    meanRunMs: 5_800,
    runLogSigma: 0.3,
    estimateLogRange: 0.2,
    meanTasks: 4,
    maxTasks: 30,
    taskLogSigma: 0.15,
    shape: { cpuMillicores: 26_000, memoryMb: 140_000 },
    acceleratorChoices: [1, 2, 4, 8, 8],
    isGang: true,
    sameRackShare: 0.6,
    checkpointingShare: 0.45,
    failureShare: 0.005,
    initialJobs: 0,
    targetLatencyMs: 2_000,
    slackFactor: 3,
    value: 3,
    lateValue: 0.9
  },
  {
    name: 'urgent gang',
    pathPrefix: '/urgent/',
    priority: 0,
    arrivalsPerSecond: 2,
    meanRunMs: 2_100,
    runLogSigma: 0.5,
    estimateLogRange: 0.9,
    meanTasks: 3,
    maxTasks: 21,
    taskLogSigma: 0.3,
    shape: { cpuMillicores: 7_500, memoryMb: 22_000 },
    acceleratorChoices: [1, 2, 4, 8, 8],
    isGang: true,
    sameRackShare: 0.8,
    checkpointingShare: 0,
    failureShare: 0.01,
    initialJobs: 0,
    targetLatencyMs: 1_000,
    slackFactor: 1.5,
    value: 4,
    lateValue: 0.8
  },
  {
    name: 'wide step',
    pathPrefix: '/wide/',
    priority: 2,
    arrivalsPerSecond: 0.6,
    meanRunMs: 8_100,
    runLogSigma: 0.3,
    estimateLogRange: 0.5,
    meanTasks: 12,
    maxTasks: 94,
    taskLogSigma: 0.3,
    shape: { cpuMillicores: 5_600, memoryMb: 29_000 },
    acceleratorChoices: [1],
    isGang: false,
    sameRackShare: 0,
    checkpointingShare: 0.45,
    failureShare: 0.017,
    initialJobs: 0,
    targetLatencyMs: 4_000,
    slackFactor: 3,
    value: 1,
    lateValue: 0.3
  }
]

/** Period in which the arrival rate of one job kind is multiplied. */
export interface LoadPeak {
  readonly kindName: string
  readonly fromMs: number
  readonly toMs: number
  readonly factor: number
}

/**
 * Draws the jobs that arrive within a period, ordered by arrival time.
 *
 * @example
 * const peaks = [{ kindName: 'urgent gang', fromMs: 5_000, toMs: 11_000, factor: 2.4 }]
 * const jobs = drawJobs(7, defaultJobKinds, 30_000, peaks)
 */
export function drawJobs (
  seed: number, kinds: readonly JobKind[], durationMs: number, peaks: readonly LoadPeak[],
  demand: Demand = defaultDemand, fleet: FleetShape = defaultFleetShape
): SimulatedJob[] {
  const random = new Random(seed)
  // The generator's first numbers after a small seed are far from uniform.
  for (let count = 0; count < DISCARDED_DRAWS; count++) random.nextFloat()
  const draw: JobDraw = { random, durationMs, peaks, demand, fleet }
  const jobs = kinds.flatMap(kind => drawJobsOfKind(draw, kind))
  return jobs.sort((left, right) => left.arrivesAtMs - right.arrivesAtMs)
}

interface JobDraw {
  readonly random: Random
  readonly durationMs: number
  readonly peaks: readonly LoadPeak[]
  readonly demand: Demand
  readonly fleet: FleetShape
}

function drawJobsOfKind (draw: JobDraw, kind: JobKind): SimulatedJob[] {
  const { random, durationMs, demand: { waves } } = draw
  const jobs: SimulatedJob[] = []
  for (let index = 0; index < kind.initialJobs; index++) {
    jobs.push(drawJob(draw, kind, -INITIAL_JOBS_MS, index))
  }
  const maxWaveFactor = waves?.peakFactor ?? 1
  let atMs = 0
  while (true) {
    const rate = kind.arrivalsPerSecond * peakFactor(draw.peaks, kind, atMs) * maxWaveFactor
    atMs += drawExponential(random) * 1_000 / rate
    if (atMs >= durationMs) return jobs
    const job = drawJob(draw, kind, atMs, jobs.length)
    // Jobs are drawn at the rate of the wave's peak, of which only a share arrives at other times.
    if (waves === undefined || random.nextFloat() * maxWaveFactor < waveFactor(waves, job)) jobs.push(job)
  }
}

function peakFactor (peaks: readonly LoadPeak[], kind: JobKind, atMs: number): number {
  const peak = peaks.find(({ kindName, fromMs, toMs }) => kindName === kind.name && atMs >= fromMs && atMs < toMs)
  return peak?.factor ?? 1
}

function waveFactor ({ zones, periodMs, peakMs, peakFactor }: DemandWaves, job: SimulatedJob): number {
  const phaseMs = (job.organisationIndex % zones) * periodMs / zones
  return (job.arrivesAtMs + periodMs - phaseMs) % periodMs < peakMs ? peakFactor : 1
}

/** Draws an organisation by its demand, of which those of the organisations form a geometric series. */
function drawOrganisation (random: Random, { organisations, demandRatio }: Demand): number {
  if (demandRatio === 1) return random.nextInt(0, organisations - 1)
  const total = (1 - demandRatio ** organisations) / (1 - demandRatio)
  const point = random.nextFloat() * total
  return Math.min(organisations - 1, Math.floor(Math.log(1 - point * (1 - demandRatio)) / Math.log(demandRatio)))
}

/** Draws a job. Its run time is at least 100 ms. */
function drawJob ({ random, demand, fleet }: JobDraw, kind: JobKind, arrivesAtMs: number, index: number): SimulatedJob {
  const factor = random.nextFloat() < LONG_RUN_SHARE ? LONG_RUN_FACTOR : 1
  const runMs = Math.max(100, drawLognormal(random, kind.meanRunMs, kind.runLogSigma) * factor)
  const accelerators = kind.acceleratorChoices[random.nextInt(0, kind.acceleratorChoices.length - 1)] ?? 1
  const taskCount = Math.min(
    kind.maxTasks, Math.max(1, Math.round(drawLognormal(random, kind.meanTasks, TASK_COUNT_LOG_SIGMA)))
  )
  return {
    jobId: `${kind.name.replace(' ', '-')}-${index}`,
    kind,
    organisationIndex: drawOrganisation(random, demand),
    arrivesAtMs,
    runMs,
    taskFactors: Array.from({ length: taskCount }, () => drawLognormal(random, 1, kind.taskLogSigma)),
    failures: drawFailures(random, kind, taskCount),
    step: {
      taskCount,
      shape: { ...kind.shape, acceleratorCount: accelerators },
      estimateMs: runMs * Math.exp((random.nextFloat() * 2 - 1) * kind.estimateLogRange),
      dependsOn: [],
      isCheckpointing: random.nextFloat() < kind.checkpointingShare,
      isGang: kind.isGang,
      isSameRack: random.nextFloat() < kind.sameRackShare && fitsInRack(fleet, kind, accelerators, taskCount),
      requiredLabel: '',
      dataRack: '',
      maxTasksPerWorker: 0,
      isSpeculative: false,
      isLasting: false,
      image: '',
      targetLatencyMs: 0,
      isFiller: false
    },
    stepCount: kind.secondStepShare !== undefined && random.nextFloat() < kind.secondStepShare ? 2 : 1
  }
}

function drawFailures (random: Random, { failureShare }: JobKind, taskCount: number): Map<number, number> {
  const failures = new Map<number, number>()
  for (let index = 0; index < taskCount; index++) {
    if (random.nextFloat() < failureShare) failures.set(index, random.nextFloat())
  }
  return failures
}

/** Callers ask for one rack only where a rack could hold the gang. */
function fitsInRack (
  { workerCapacity, workersPerRack }: FleetShape, kind: JobKind, accelerators: number, taskCount: number
): boolean {
  const tasksPerWorker = Math.floor(Math.min(
    workerCapacity.acceleratorCount / accelerators,
    workerCapacity.cpuMillicores / kind.shape.cpuMillicores,
    workerCapacity.memoryMb / kind.shape.memoryMb
  ))
  return taskCount <= tasksPerWorker * workersPerRack
}

function drawExponential (random: Random): number {
  return -Math.log(1 - random.nextFloat())
}

/** Draws a lognormal value with this mean, which is not the median. */
function drawLognormal (random: Random, mean: number, logSigma: number): number {
  const normal = Math.sqrt(2 * drawExponential(random)) * Math.cos(2 * Math.PI * random.nextFloat())
  return mean * Math.exp(normal * logSigma - logSigma * logSigma / 2)
}
