/** Seeded load for the placement benchmark: inventories, jobs, cancellations and worker failures. */
import { type Configuration, type JobSpec, Random, type Worker, defaultRules } from '@comfreygrade/core'

const MINUTE_MS = 60_000
const HOUR_MS = 3_600_000

/** Class of a job in the rows of the benchmark. */
export type LoadClass = 'small' | 'large' | 'urgent'

/** A job with what only the simulation knows. */
export interface LoadJob {
  readonly spec: JobSpec
  readonly loadClass: LoadClass
  readonly submitMs: number
  readonly actualRunMs: number
  /** Whether the job fails wherever it starts. */
  readonly isBroken: boolean
}

/** A wave in which an organisation cancels a share of its jobs. */
export interface CancelWave {
  readonly atMs: number
  readonly organisationId: string
  readonly share: number
}

/** A worker that is lost, or that fails every task it starts. */
export interface WorkerTrouble {
  readonly kind: 'lost' | 'sick'
  readonly workerId: string
  readonly fromMs: number
  readonly untilMs: number
}

/** Everything that happens in one run. */
export interface PlacementLoad {
  readonly configuration: Configuration
  readonly jobs: readonly LoadJob[]
  readonly cancelWaves: readonly CancelWave[]
  readonly troubles: readonly WorkerTrouble[]
  readonly durationMs: number
}

/** Size and strength of a load. */
export interface LoadSettings {
  /** Racks of 8 workers with 8 accelerators. */
  readonly racks: number
  readonly durationMs: number
  /** Offered accelerator time as a share of the inventory, without failures. */
  readonly offeredShare: number
}

/** Share of the submitted load by organisation: two submit 80 %. */
const ORGANISATION_WEIGHTS: ReadonlyArray<readonly [string, number]> =
  [['o1', 0.4], ['o2', 0.4], ['o3', 0.1], ['o4', 0.1]]
/** Share of the offered accelerator time by class. */
const CLASS_SHARES: ReadonlyArray<readonly [LoadClass, number]> = [['small', 0.4], ['large', 0.55], ['urgent', 0.05]]
const BURST_SIZE_MEAN: Readonly<Record<LoadClass, number>> = { small: 12, large: 2, urgent: 3 }
const RUN_MEDIAN_MS: Readonly<Record<LoadClass, number>> =
  { small: 20 * MINUTE_MS, large: 60 * MINUTE_MS, urgent: 3 * MINUTE_MS }
const LABELS_PER_CLASS = 3
const BROKEN_SHARE = 0.01
const TAIL_SHARE = 0.05
const CANCEL_WAVES_PER_DAY = 3
/** Mean time between losses of one worker: 220 of 21,000 VMs fail on a day. */
const WORKER_LOSS_MEAN_MS = 21_000 / 220 * 24 * HOUR_MS
const SICK_WORKERS_PER_DAY_AND_RACK = 0.25

/**
 * The inventory of the benchmark: racks of 8 workers with 8 accelerators, four organisations and their guarantees.
 *
 * @example
 * benchConfiguration(4).workers.size // 32
 */
export function benchConfiguration (racks: number): Configuration {
  const total = racks * 64
  const rackIds = Array.from({ length: racks }, (_, number) => `rack${number}`)
  const workers = rackIds.flatMap(rackId =>
    Array.from({ length: 8 }, (_, position) => benchWorker(rackId, position, 8)))
  const quotas: ReadonlyArray<readonly [string, number]> = [['o1', 0.75], ['o2', 0.75], ['o3', 0.375], ['o4', 0.375]]
  const guarantees = [
    guaranteeOf('o1', 64, racks / 4),
    guaranteeOf('o2', 8, racks),
    guaranteeOf('o3', 32, racks / 4),
    guaranteeOf('o4', 4, racks)
  ]
  return {
    version: 1,
    racks: new Map(rackIds.map(rackId => [rackId, { rackId, region: 'salto', availabilityZone: 'salto-a' }])),
    workers: new Map(workers.map(worker => [worker.workerId, worker])),
    organisations: new Map(quotas.map(([organisationId, share]) =>
      [organisationId, { organisationId, quotaAccelerators: total * share, weight: 1 }])),
    guarantees: new Map(guarantees.map(guarantee => [guarantee.guaranteeId, guarantee])),
    rules: defaultRules
  }
}

/** A worker of the benchmark; cores and memory are in proportion to its accelerators. */
export function benchWorker (rackId: string, rackPosition: number, accelerators: number): Worker {
  const workerId = `${rackId}-w${rackPosition}`
  const size = { cores: 8 * accelerators, memoryGb: 32 * accelerators, accelerators }
  return { workerId, rackId, rackPosition, acceleratorModel: 'gpu', ...size }
}

function guaranteeOf (organisationId: string, acceleratorsPerCell: number, cells: number) {
  return { guaranteeId: `g-${organisationId}`, organisationId, acceleratorModel: 'gpu', acceleratorsPerCell, cells }
}

/**
 * Generates a run. The same seed and settings give the same load for every policy.
 *
 * @example
 * const load = generateLoad({ racks: 4, durationMs: 86_400_000, offeredShare: 0.85 }, 101)
 */
export function generateLoad (settings: LoadSettings, seed: number): PlacementLoad {
  const configuration = benchConfiguration(settings.racks)
  const generator = new LoadGenerator(settings, configuration, new Random(seed))
  return {
    configuration,
    jobs: generator.jobs(),
    cancelWaves: generator.cancelWaves(),
    troubles: generator.troubles(),
    durationMs: settings.durationMs
  }
}

class LoadGenerator {
  readonly #settings: LoadSettings
  readonly #configuration: Configuration
  readonly #random: Random
  #nextJob = 1

  constructor (settings: LoadSettings, configuration: Configuration, random: Random) {
    this.#settings = settings
    this.#configuration = configuration
    this.#random = random
  }

  jobs (): LoadJob[] {
    const jobs = CLASS_SHARES.flatMap(([loadClass, share]) => this.#jobsOf(loadClass, share))
    return jobs.sort((left, right) => left.submitMs - right.submitMs)
  }

  cancelWaves (): CancelWave[] {
    const waves: CancelWave[] = []
    const gapMs = 24 * HOUR_MS / CANCEL_WAVES_PER_DAY
    for (let atMs = this.#exponentialMs(gapMs); atMs < this.#settings.durationMs; atMs += this.#exponentialMs(gapMs)) {
      const organisationId = this.#weighted(ORGANISATION_WEIGHTS)
      waves.push({ atMs, organisationId, share: 0.1 + 0.3 * this.#random.nextFloat() })
    }
    return waves
  }

  troubles (): WorkerTrouble[] {
    const troubles: WorkerTrouble[] = []
    for (const workerId of this.#configuration.workers.keys()) {
      troubles.push(...this.#troublesOf('lost', workerId, WORKER_LOSS_MEAN_MS, 30 * MINUTE_MS))
      const sickGapMs = 8 * 24 * HOUR_MS / SICK_WORKERS_PER_DAY_AND_RACK
      troubles.push(...this.#troublesOf('sick', workerId, sickGapMs, 2 * HOUR_MS))
    }
    return troubles
  }

  #troublesOf (kind: WorkerTrouble['kind'], workerId: string, gapMs: number, lengthMs: number): WorkerTrouble[] {
    const troubles: WorkerTrouble[] = []
    let fromMs = this.#exponentialMs(gapMs)
    while (fromMs < this.#settings.durationMs) {
      const untilMs = fromMs + this.#exponentialMs(lengthMs)
      troubles.push({ kind, workerId, fromMs, untilMs })
      fromMs = untilMs + this.#exponentialMs(gapMs)
    }
    return troubles
  }

  /** Bursts follow each other until the class has offered its share of accelerator time. */
  #jobsOf (loadClass: LoadClass, share: number): LoadJob[] {
    const { racks, durationMs, offeredShare } = this.#settings
    const budget = racks * 64 * durationMs * offeredShare * share
    const jobs: LoadJob[] = []
    let offered = 0
    while (offered < budget) {
      const burst = this.#burst(loadClass)
      jobs.push(...burst)
      for (const job of burst) offered += job.spec.tasks * job.spec.acceleratorsPerTask * job.actualRunMs
    }
    return jobs
  }

  #burst (loadClass: LoadClass): LoadJob[] {
    const organisationId = this.#weighted(ORGANISATION_WEIGHTS)
    const startMs = this.#random.nextInt(0, this.#settings.durationMs)
    const size = 1 + Math.floor(this.#exponential(BURST_SIZE_MEAN[loadClass] - 1))
    return Array.from({ length: size }, () =>
      this.#job(loadClass, organisationId, startMs + this.#exponentialMs(MINUTE_MS)))
  }

  #job (loadClass: LoadClass, organisationId: string, submitMs: number): LoadJob {
    const label = this.#random.nextInt(1, LABELS_PER_CLASS)
    const actualRunMs = this.#runMs(loadClass, label)
    const declaredRunMs = Math.round(actualRunMs * 10 ** (2 * this.#random.nextFloat() - 1))
    const shape = this.#shape(loadClass)
    const spec: JobSpec = {
      jobId: `job${this.#nextJob++}`,
      organisationId,
      jobClass: `${loadClass}${label}`,
      acceleratorModel: 'gpu',
      ...shape,
      coresPerTask: shape.acceleratorsPerTask * this.#random.nextInt(2, 8),
      memoryGbPerTask: shape.acceleratorsPerTask * this.#random.nextInt(8, 32),
      declaredRunMs,
      priority: loadClass === 'urgent' ? 'urgent' : 'normal',
      preemption: this.#weighted([['checkpoint', 0.7], ['repeat', 0.2], ['none', 0.1]])
    }
    return { spec, loadClass, submitMs, actualRunMs, isBroken: this.#random.nextFloat() < BROKEN_SHARE }
  }

  #shape (loadClass: LoadClass): Pick<JobSpec, 'tasks' | 'acceleratorsPerTask' | 'adjacency'> {
    switch (loadClass) {
      case 'small': return this.#pick([
        { tasks: 1, acceleratorsPerTask: 1, adjacency: 'none' },
        { tasks: 1, acceleratorsPerTask: 2, adjacency: 'none' },
        { tasks: 2, acceleratorsPerTask: 2, adjacency: 'worker' },
        { tasks: 1, acceleratorsPerTask: 4, adjacency: 'none' }
      ])
      case 'large': return this.#pick([
        { tasks: 4, acceleratorsPerTask: 8, adjacency: 'rack' },
        { tasks: 8, acceleratorsPerTask: 4, adjacency: 'rack' },
        { tasks: 8, acceleratorsPerTask: 8, adjacency: 'rack' },
        { tasks: 64, acceleratorsPerTask: 1, adjacency: 'none' }
      ])
      case 'urgent': return this.#pick([
        { tasks: 1, acceleratorsPerTask: 1, adjacency: 'none' },
        { tasks: 1, acceleratorsPerTask: 8, adjacency: 'none' },
        { tasks: 2, acceleratorsPerTask: 8, adjacency: 'rack' }
      ])
    }
  }

  /** Log-normal by label, with a Pareto tail that runs many times longer. */
  #runMs (loadClass: LoadClass, label: number): number {
    const medianMs = RUN_MEDIAN_MS[loadClass] * 2 ** (label - 2)
    const usualMs = medianMs * Math.exp(0.6 * this.#normal())
    const isTail = this.#random.nextFloat() < TAIL_SHARE
    const factor = isTail ? Math.min(20, 3 * (1 - this.#random.nextFloat()) ** (-1 / 1.5)) : 1
    return Math.max(10_000, Math.round(usualMs * factor))
  }

  /** Whole milliseconds, so that sums and differences of times are exact. */
  #exponentialMs (meanMs: number): number {
    return Math.round(this.#exponential(meanMs))
  }

  #exponential (mean: number): number {
    return -Math.log(1 - this.#random.nextFloat()) * mean
  }

  #normal (): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#random.nextFloat()))
    return radius * Math.cos(2 * Math.PI * this.#random.nextFloat())
  }

  #pick<T> (values: readonly T[]): T {
    return values[this.#random.nextInt(0, values.length - 1)]!
  }

  #weighted<T> (choices: ReadonlyArray<readonly [T, number]>): T {
    let left = this.#random.nextFloat()
    for (const [value, weight] of choices) {
      left -= weight
      if (left < 0) return value
    }
    return choices.at(-1)![0]
  }
}
