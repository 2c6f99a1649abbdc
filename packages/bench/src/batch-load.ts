/** Jobs of the batch scheduler's users, drawn from a seed: urgent gangs, large gangs and wide steps of small tasks. */
import { Random } from '@comfreygrade/core'
import type { StepSpec, TaskShape } from '@comfreygrade/batch'

/** One kind of job. Figures are means of the users' sheets. */
export interface JobKind {
  readonly name: string
  /** Path prefix of its queue. */
  readonly pathPrefix: string
  readonly priority: number
  readonly perSecond: number
  readonly runMs: number
  /** Spread of the run time, as the deviation of its logarithm. */
  readonly runSpread: number
  /** Spread of the caller's estimate around the run time. */
  readonly estimateSpread: number
  readonly tasks: number
  readonly maxTasks: number
  readonly shape: Omit<TaskShape, 'acceleratorCount'>
  readonly acceleratorChoices: readonly number[]
  readonly isGang: boolean
  readonly sameRackShare: number
  readonly checkpointingShare: number
  readonly targetLatencyMs: number
  readonly slackFactor: number
  /** What a job of average size brings its caller in time, and late. */
  readonly worth: number
  readonly lateWorth: number
}

/** A job as it arrives. */
export interface SimulatedJob {
  readonly jobId: string
  readonly kind: JobKind
  readonly organisation: number
  readonly arrivesAtMs: number
  readonly step: StepSpec
  /** Run time of a task on a worker of speed 1. */
  readonly runMs: number
}

/** A few works take this many times as long as their kind says. */
const TAIL_FACTOR = 7
const TAIL_SHARE = 0.03
const TASK_SPREAD = 0.8
const ORGANISATIONS = 4
const WARM_UP_NUMBERS = 20

/** Kinds of jobs of the yard desk with the rates of a busy day of 33 workers. */
export const yardKinds: readonly JobKind[] = [
  {
    name: 'large gang',
    pathPrefix: '/large/',
    priority: 1,
    perSecond: 0.6,
    runMs: 5_800,
    runSpread: 0.3,
    estimateSpread: 0.2,
    tasks: 4,
    maxTasks: 30,
    shape: { cpuMillicores: 26_000, memoryMb: 140_000 },
    acceleratorChoices: [1, 2, 4, 8, 8],
    isGang: true,
    sameRackShare: 0.6,
    checkpointingShare: 0.45,
    targetLatencyMs: 2_000,
    slackFactor: 3,
    worth: 3,
    lateWorth: 0.9
  },
  {
    name: 'urgent gang',
    pathPrefix: '/urgent/',
    priority: 0,
    perSecond: 2,
    runMs: 2_100,
    runSpread: 0.5,
    estimateSpread: 0.9,
    tasks: 3,
    maxTasks: 21,
    shape: { cpuMillicores: 7_500, memoryMb: 22_000 },
    acceleratorChoices: [1, 2, 4, 8, 8],
    isGang: true,
    sameRackShare: 0.8,
    checkpointingShare: 0,
    targetLatencyMs: 1_000,
    slackFactor: 1.5,
    worth: 4,
    lateWorth: 0.8
  },
  {
    name: 'wide step',
    pathPrefix: '/wide/',
    priority: 2,
    perSecond: 0.6,
    runMs: 8_100,
    runSpread: 0.3,
    estimateSpread: 0.5,
    tasks: 12,
    maxTasks: 94,
    shape: { cpuMillicores: 5_600, memoryMb: 29_000 },
    acceleratorChoices: [1],
    isGang: false,
    sameRackShare: 0,
    checkpointingShare: 0.45,
    targetLatencyMs: 4_000,
    slackFactor: 3,
    worth: 1,
    lateWorth: 0.3
  }
]

/** A crest: the rate of one kind is multiplied for a while. */
export interface Crest {
  readonly kindName: string
  readonly fromMs: number
  readonly toMs: number
  readonly factor: number
}

/**
 * Draws the arrivals of a day in order of time.
 *
 * @example
 * const jobs = drawJobs(7, yardKinds, 30_000, [{ kindName: 'urgent gang', fromMs: 5_000, toMs: 11_000, factor: 2.4 }])
 */
export function drawJobs (
  seed: number, kinds: readonly JobKind[], durationMs: number, crests: readonly Crest[]
): SimulatedJob[] {
  const random = new Random(seed)
  // The first numbers after a small seed are far from uniform.
  for (let count = 0; count < WARM_UP_NUMBERS; count++) random.nextFloat()
  const jobs = kinds.flatMap(kind => drawKind(random, kind, durationMs, crests))
  return jobs.sort((left, right) => left.arrivesAtMs - right.arrivesAtMs)
}

function drawKind (random: Random, kind: JobKind, durationMs: number, crests: readonly Crest[]): SimulatedJob[] {
  const jobs: SimulatedJob[] = []
  let atMs = 0
  while (true) {
    const crest = crests.find(({ kindName, fromMs, toMs }) => kindName === kind.name && atMs >= fromMs && atMs < toMs)
    atMs += exponential(random) * 1_000 / (kind.perSecond * (crest?.factor ?? 1))
    if (atMs >= durationMs) return jobs
    jobs.push(drawJob(random, kind, atMs, jobs.length))
  }
}

function drawJob (random: Random, kind: JobKind, arrivesAtMs: number, number: number): SimulatedJob {
  const tail = random.nextFloat() < TAIL_SHARE ? TAIL_FACTOR : 1
  const runMs = Math.max(100, lognormal(random, kind.runMs, kind.runSpread) * tail)
  const accelerators = kind.acceleratorChoices[random.nextInt(0, kind.acceleratorChoices.length - 1)] ?? 1
  const taskCount = Math.min(kind.maxTasks, Math.max(1, Math.round(lognormal(random, kind.tasks, TASK_SPREAD))))
  return {
    jobId: `${kind.name.replace(' ', '-')}-${number}`,
    kind,
    organisation: random.nextInt(0, ORGANISATIONS - 1),
    arrivesAtMs,
    runMs,
    step: {
      taskCount,
      shape: { ...kind.shape, acceleratorCount: accelerators },
      estimateMs: runMs * Math.exp((random.nextFloat() * 2 - 1) * kind.estimateSpread),
      dependsOn: [],
      isCheckpointing: random.nextFloat() < kind.checkpointingShare,
      isGang: kind.isGang,
      isSameRack: random.nextFloat() < kind.sameRackShare,
      requiredLabel: '',
      dataRack: '',
      maxTasksPerWorker: 0,
      isSpeculative: false,
      isLasting: false,
      image: '',
      targetLatencyMs: 0,
      isFiller: false
    }
  }
}

function exponential (random: Random): number {
  return -Math.log(1 - random.nextFloat())
}

/** A lognormal value with this mean. */
function lognormal (random: Random, mean: number, spread: number): number {
  const normal = Math.sqrt(2 * exponential(random)) * Math.cos(2 * Math.PI * random.nextFloat())
  return mean * Math.exp(normal * spread - spread * spread / 2)
}
