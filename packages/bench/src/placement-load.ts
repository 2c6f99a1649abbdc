/** Seeded load for the placement benchmark: inventory, jobs, cancellations and worker faults. */
import { type Configuration, type JobSpec, Random, type Worker, defaultRules } from '@comfreygrade/core'

const MINUTE_MS = 60_000
const HOUR_MS = 3_600_000

/** Class of jobs for which the benchmark reports separate figures. */
export type LoadClass = 'small' | 'large' | 'urgent'

/** A job and the properties that are hidden from the scheduler. */
export interface LoadJob {
  readonly spec: JobSpec
  readonly loadClass: LoadClass
  readonly submitMs: number
  readonly actualRunMs: number
  /** Whether the job fails on every worker. */
  readonly isAlwaysFailing: boolean
}

/** At one time, an organisation cancels this share of its jobs that have not ended. */
export interface CancellationBurst {
  readonly atMs: number
  readonly organisationId: string
  readonly share: number
}

/** Period in which a worker is lost, or fails every task that it starts. */
export interface WorkerFault {
  readonly kind: 'lost' | 'faulty'
  readonly workerId: string
  readonly fromMs: number
  readonly untilMs: number
}

/** Inventory and external events of one simulation. */
export interface PlacementLoad {
  readonly configuration: Configuration
  readonly jobs: readonly LoadJob[]
  readonly cancellations: readonly CancellationBurst[]
  readonly faults: readonly WorkerFault[]
  readonly durationMs: number
}

/** Size of the inventory, and duration and intensity of the load. */
export interface LoadSettings {
  /** Racks of 8 workers with 8 accelerators. */
  readonly racks: number
  readonly durationMs: number
  /** Offered accelerator time as a share of the inventory, not counting repeated work after failures. */
  readonly offeredShare: number
}

/** Share of the submitted load by organisation; two submit 80 %. */
const ORGANISATION_SHARES: ReadonlyArray<readonly [string, number]> =
  [['o1', 0.4], ['o2', 0.4], ['o3', 0.1], ['o4', 0.1]]
/** Share of the offered accelerator time by class. */
const CLASS_SHARES: ReadonlyArray<readonly [LoadClass, number]> = [['small', 0.4], ['large', 0.55], ['urgent', 0.05]]
/** Mean number of jobs per burst, before it is rounded down to a whole number. */
const BURST_SIZE_MEAN: Readonly<Record<LoadClass, number>> = { small: 12, large: 2, urgent: 3 }
const RUN_MEDIAN_MS: Readonly<Record<LoadClass, number>> =
  { small: 20 * MINUTE_MS, large: 60 * MINUTE_MS, urgent: 3 * MINUTE_MS }
/** The declared run time is at most this many times shorter or longer than the actual one. */
export const MAX_DECLARATION_ERROR_FACTOR = 10
const JOB_CLASSES_PER_LOAD_CLASS = 3
const FAILING_JOB_SHARE = 0.01
const LONG_RUN_SHARE = 0.05
const CANCELLATION_BURSTS_PER_DAY = 3
/** Mean time between losses of one worker, as 220 of 21,000 VMs fail per day. */
const WORKER_LOSS_MEAN_MS = 21_000 / 220 * 24 * HOUR_MS
const FAULTY_WORKERS_PER_DAY_AND_RACK = 0.25

/**
 * Returns an inventory of racks with 8 workers of 8 accelerators, four organisations and their guarantees.
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

/** Returns a worker with cores and memory in proportion to its accelerators. */
export function benchWorker (rackId: string, rackPosition: number, accelerators: number): Worker {
  const workerId = `${rackId}-w${rackPosition}`
  const size = { cores: 8 * accelerators, memoryGb: 32 * accelerators, accelerators }
  return { workerId, rackId, rackPosition, acceleratorModel: 'gpu', ...size }
}

function guaranteeOf (organisationId: string, acceleratorsPerCell: number, cells: number) {
  return { guaranteeId: `g-${organisationId}`, organisationId, acceleratorModel: 'gpu', acceleratorsPerCell, cells }
}

/**
 * Generates a load, which depends on the seed and the settings only, so that policies can be compared on the same load.
 *
 * @example
 * const load = generateLoad({ racks: 4, durationMs: 86_400_000, offeredShare: 0.85 }, 101)
 */
export function generateLoad (settings: LoadSettings, seed: number): PlacementLoad {
  const configuration = benchConfiguration(settings.racks)
  const generator = new LoadGenerator(settings, configuration, new Random(seed))
  return {
    configuration,
    jobs: generator.generateJobs(),
    cancellations: generator.generateCancellations(),
    faults: generator.generateFaults(),
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

  generateJobs (): LoadJob[] {
    const jobs = CLASS_SHARES.flatMap(([loadClass, share]) => this.#drawJobs(loadClass, share))
    return jobs.sort((left, right) => left.submitMs - right.submitMs)
  }

  generateCancellations (): CancellationBurst[] {
    const cancellations: CancellationBurst[] = []
    const gapMs = 24 * HOUR_MS / CANCELLATION_BURSTS_PER_DAY
    for (
      let atMs = this.#drawExponentialMs(gapMs);
      atMs < this.#settings.durationMs;
      atMs += this.#drawExponentialMs(gapMs)
    ) {
      const organisationId = this.#drawWeighted(ORGANISATION_SHARES)
      cancellations.push({ atMs, organisationId, share: 0.1 + 0.3 * this.#random.nextFloat() })
    }
    return cancellations
  }

  generateFaults (): WorkerFault[] {
    const faults: WorkerFault[] = []
    // A lost worker returns after a mean of 30 minutes; a faulty one works again after a mean of 2 hours.
    for (const workerId of this.#configuration.workers.keys()) {
      faults.push(...this.#drawFaults('lost', workerId, WORKER_LOSS_MEAN_MS, 30 * MINUTE_MS))
      const faultyGapMs = 8 * 24 * HOUR_MS / FAULTY_WORKERS_PER_DAY_AND_RACK
      faults.push(...this.#drawFaults('faulty', workerId, faultyGapMs, 2 * HOUR_MS))
    }
    return faults
  }

  #drawFaults (kind: WorkerFault['kind'], workerId: string, meanGapMs: number, meanDurationMs: number): WorkerFault[] {
    const faults: WorkerFault[] = []
    let fromMs = this.#drawExponentialMs(meanGapMs)
    while (fromMs < this.#settings.durationMs) {
      const untilMs = fromMs + this.#drawExponentialMs(meanDurationMs)
      faults.push({ kind, workerId, fromMs, untilMs })
      fromMs = untilMs + this.#drawExponentialMs(meanGapMs)
    }
    return faults
  }

  /** Draws bursts until the jobs of the class offer their share of accelerator time. */
  #drawJobs (loadClass: LoadClass, share: number): LoadJob[] {
    const { racks, durationMs, offeredShare } = this.#settings
    const budgetAcceleratorMs = racks * 64 * durationMs * offeredShare * share
    const jobs: LoadJob[] = []
    let offeredAcceleratorMs = 0
    while (offeredAcceleratorMs < budgetAcceleratorMs) {
      const burst = this.#drawBurst(loadClass)
      jobs.push(...burst)
      for (const job of burst) offeredAcceleratorMs += job.spec.tasks * job.spec.acceleratorsPerTask * job.actualRunMs
    }
    return jobs
  }

  #drawBurst (loadClass: LoadClass): LoadJob[] {
    const organisationId = this.#drawWeighted(ORGANISATION_SHARES)
    const startMs = this.#random.nextInt(0, this.#settings.durationMs)
    const size = 1 + Math.floor(this.#drawExponential(BURST_SIZE_MEAN[loadClass] - 1))
    return Array.from({ length: size }, () =>
      this.#drawJob(loadClass, organisationId, startMs + this.#drawExponentialMs(MINUTE_MS)))
  }

  #drawJob (loadClass: LoadClass, organisationId: string, submitMs: number): LoadJob {
    const classIndex = this.#random.nextInt(1, JOB_CLASSES_PER_LOAD_CLASS)
    const actualRunMs = this.#drawRunMs(loadClass, classIndex)
    const declaredRunMs = Math.round(actualRunMs * MAX_DECLARATION_ERROR_FACTOR ** (2 * this.#random.nextFloat() - 1))
    const shape = this.#drawShape(loadClass)
    const spec: JobSpec = {
      jobId: `job${this.#nextJob++}`,
      organisationId,
      jobClass: `${loadClass}${classIndex}`,
      acceleratorModel: 'gpu',
      ...shape,
      coresPerTask: shape.acceleratorsPerTask * this.#random.nextInt(2, 8),
      memoryGbPerTask: shape.acceleratorsPerTask * this.#random.nextInt(8, 32),
      declaredRunMs,
      priority: loadClass === 'urgent' ? 'urgent' : 'normal',
      preemption: this.#drawWeighted([['checkpoint', 0.7], ['repeat', 0.2], ['none', 0.1]])
    }
    return { spec, loadClass, submitMs, actualRunMs, isAlwaysFailing: this.#random.nextFloat() < FAILING_JOB_SHARE }
  }

  #drawShape (loadClass: LoadClass): Pick<JobSpec, 'tasks' | 'acceleratorsPerTask' | 'adjacency'> {
    switch (loadClass) {
      case 'small': return this.#drawUniform([
        { tasks: 1, acceleratorsPerTask: 1, adjacency: 'none' },
        { tasks: 1, acceleratorsPerTask: 2, adjacency: 'none' },
        { tasks: 2, acceleratorsPerTask: 2, adjacency: 'worker' },
        { tasks: 1, acceleratorsPerTask: 4, adjacency: 'none' }
      ])
      case 'large': return this.#drawUniform([
        { tasks: 4, acceleratorsPerTask: 8, adjacency: 'rack' },
        { tasks: 8, acceleratorsPerTask: 4, adjacency: 'rack' },
        { tasks: 8, acceleratorsPerTask: 8, adjacency: 'rack' },
        { tasks: 64, acceleratorsPerTask: 1, adjacency: 'none' }
      ])
      case 'urgent': return this.#drawUniform([
        { tasks: 1, acceleratorsPerTask: 1, adjacency: 'none' },
        { tasks: 1, acceleratorsPerTask: 8, adjacency: 'none' },
        { tasks: 2, acceleratorsPerTask: 8, adjacency: 'rack' }
      ])
    }
  }

  /** Lognormal run time by job class, with a Pareto tail of jobs that run many times longer. */
  #drawRunMs (loadClass: LoadClass, classIndex: number): number {
    const medianMs = RUN_MEDIAN_MS[loadClass] * 2 ** (classIndex - 2)
    const usualMs = medianMs * Math.exp(0.6 * this.#drawNormal())
    const isLongRun = this.#random.nextFloat() < LONG_RUN_SHARE
    const factor = isLongRun ? Math.min(20, 3 * (1 - this.#random.nextFloat()) ** (-1 / 1.5)) : 1
    return Math.max(10_000, Math.round(usualMs * factor))
  }

  /** Rounded to whole milliseconds, so that sums and differences of times are exact. */
  #drawExponentialMs (meanMs: number): number {
    return Math.round(this.#drawExponential(meanMs))
  }

  #drawExponential (mean: number): number {
    return -Math.log(1 - this.#random.nextFloat()) * mean
  }

  #drawNormal (): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#random.nextFloat()))
    return radius * Math.cos(2 * Math.PI * this.#random.nextFloat())
  }

  #drawUniform<T> (values: readonly T[]): T {
    return values[this.#random.nextInt(0, values.length - 1)]!
  }

  #drawWeighted<T> (choices: ReadonlyArray<readonly [T, number]>): T {
    let remaining = this.#random.nextFloat()
    for (const [value, weight] of choices) {
      remaining -= weight
      if (remaining < 0) return value
    }
    return choices.at(-1)![0]
  }
}
