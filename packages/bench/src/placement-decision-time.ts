/** Measures decision time and memory of the gang scheduler for a given number of workers. */
import { type Configuration, type JobSpec, Random, type Worker, defaultRules } from '@comfreygrade/core'
import { BuddyCellPolicy, GangScheduler, Heap, defaultPlacementSettings } from '@comfreygrade/placement'
import { MAX_DECLARATION_ERROR_FACTOR, benchWorker } from './placement-load.js'

const DAY_MS = 86_400_000
/** Jobs per day and accelerators at the planned size of 21,000 workers. */
const PLANNED_JOBS_PER_DAY = 35_000
const PLANNED_ACCELERATORS = 47_000
const ORGANISATIONS = 830
/** Offered accelerator time as a share of the inventory, low enough to keep the queue short. */
const OFFERED_SHARE = 0.85
/** Mean number of tasks times accelerators per task of the jobs that `#submit` draws. */
const MEAN_ACCELERATORS_PER_JOB = 6.3
const MEASURED_EVENTS = 2_000
const MEASURED_EVENTS_DEEP_QUEUE = 1_000
/** With fewer waiting jobs, the measured time of a cancellation is not meaningful. */
const MIN_WAITING_JOBS_TO_TIME_CANCELLATION = 1_000
const WORKERS_PER_RACK = 8

/** Results of one measurement. The field names are the column heads of the printed table. */
export interface DecisionTimeRow {
  readonly workers: number
  readonly accelerators: number
  readonly runningJobs: number
  readonly waitingJobs: number
  readonly passMeanMs: number
  readonly passP99Ms: number
  readonly passMaxMs: number
  /** Heap and array buffers used by the scheduler with its jobs, in MiB; 0 without `--expose-gc`. */
  readonly memoryMb: number
  /** Time to apply a configuration with one more worker. */
  readonly applyConfigurationMs: number
  /**
   * Time to cancel all jobs, also those that run or have ended, divided by the number of waiting jobs; 0 if few wait.
   */
  readonly cancelUsPerJob: number
}

/**
 * Measures a scheduling pass after each job arrival and each job end.
 *
 * @param deepQueueJobs number of jobs queued before the measurement; 0 for a short queue
 * @example
 * measureDecisionTime(30, 0).passP99Ms
 */
export function measureDecisionTime (workers: number, deepQueueJobs: number): DecisionTimeRow {
  const run = new DecisionTimeRun(workers)
  run.fill()
  run.enqueue(deepQueueJobs)
  return run.measure(deepQueueJobs > 0 ? MEASURED_EVENTS_DEEP_QUEUE : MEASURED_EVENTS)
}

class DecisionTimeRun {
  readonly #random = new Random(7)
  readonly #configuration: Configuration
  readonly #accelerators: number
  readonly #interarrivalMs: number
  readonly #memoryBeforeBytes: number
  readonly #scheduler: GangScheduler
  readonly #ends = new Heap<{ readonly atMs: number, readonly jobId: string }>((left, right) => left.atMs - right.atMs)
  readonly #runMs = new Map<string, number>()
  #nowMs = 0
  #nextJobNumber = 1

  constructor (workers: number) {
    this.#configuration = plannedConfiguration(workers)
    this.#accelerators = [...this.#configuration.workers.values()].reduce((sum, worker) => sum + worker.accelerators, 0)
    this.#interarrivalMs = DAY_MS / PLANNED_JOBS_PER_DAY * PLANNED_ACCELERATORS / this.#accelerators
    this.#memoryBeforeBytes = memoryBytes()
    this.#scheduler = new GangScheduler(defaultPlacementSettings, new BuddyCellPolicy())
    this.#scheduler.applyConfiguration(this.#configuration)
    for (const workerId of this.#configuration.workers.keys()) this.#scheduler.workerJoined(workerId, 0)
  }

  /** Submits jobs until they hold the offered share of the accelerators or the first job has to wait. */
  fill (): void {
    while (this.#heldAccelerators() < this.#accelerators * OFFERED_SHARE) {
      for (let count = 0; count < this.#accelerators / 100; count++) this.#submit()
      this.#pass()
      if (this.#scheduler.report().waitingJobs > 0) break
    }
  }

  enqueue (jobs: number): void {
    for (let count = 0; count < jobs; count++) this.#submit()
    if (jobs > 0) this.#pass()
  }

  measure (events: number): DecisionTimeRow {
    const times: number[] = []
    let arrivalMs = this.#nowMs
    for (let count = 0; count < events; count++) {
      const end = this.#ends.pop()
      if (end === undefined || end.atMs > arrivalMs) {
        if (end !== undefined) this.#ends.push(end)
        this.#nowMs = arrivalMs
        arrivalMs += this.#interarrivalMs
        this.#submit()
      } else {
        this.#nowMs = Math.max(this.#nowMs, end.atMs)
        this.#scheduler.jobEnded(end.jobId, this.#nowMs)
        this.#runMs.delete(end.jobId)
      }
      times.push(this.#pass())
    }
    return this.#row(times)
  }

  #row (times: number[]): DecisionTimeRow {
    const report = this.#scheduler.report()
    const memory = memoryBytes() - this.#memoryBeforeBytes
    times.sort((left, right) => left - right)
    return {
      workers: this.#configuration.workers.size,
      accelerators: this.#accelerators,
      runningJobs: report.runningJobs,
      waitingJobs: report.waitingJobs,
      passMeanMs: times.reduce((sum, time) => sum + time, 0) / times.length,
      passP99Ms: times[Math.floor(times.length * 0.99)]!,
      passMaxMs: times.at(-1)!,
      memoryMb: memory / 1024 / 1024,
      applyConfigurationMs: this.#timeConfiguration(),
      cancelUsPerJob: this.#timeCancellation(report.waitingJobs)
    }
  }

  #timeConfiguration (): number {
    const added = benchWorker('extra', 0, 8)
    const workers = new Map(this.#configuration.workers).set(added.workerId, added)
    const startedMs = performance.now()
    this.#scheduler.applyConfiguration({ ...this.#configuration, workers })
    return performance.now() - startedMs
  }

  #timeCancellation (waitingJobs: number): number {
    if (waitingJobs < MIN_WAITING_JOBS_TO_TIME_CANCELLATION) return 0
    const startedMs = performance.now()
    for (let job = 1; job < this.#nextJobNumber; job++) this.#scheduler.cancel(`job${job}`, this.#nowMs)
    return (performance.now() - startedMs) * 1000 / waitingJobs
  }

  #heldAccelerators (): number {
    return this.#scheduler.report().acceleratorsInUse
  }

  #pass (): number {
    const startedMs = performance.now()
    const decisions = this.#scheduler.runPass(this.#nowMs)
    const elapsedMs = performance.now() - startedMs
    for (const decision of decisions) {
      const { jobId } = decision
      if (decision.kind === 'place') this.#ends.push({ atMs: this.#nowMs + this.#runMs.get(jobId)!, jobId })
      if (decision.kind === 'reclaim') this.#scheduler.requeue(jobId, this.#nowMs)
    }
    return elapsedMs
  }

  #submit (): void {
    const jobId = `job${this.#nextJobNumber++}`
    const tasks = this.#random.nextInt(1, 20) === 1 ? this.#random.nextInt(8, 64) : this.#random.nextInt(1, 4)
    const meanRunMs = OFFERED_SHARE * this.#interarrivalMs * this.#accelerators / MEAN_ACCELERATORS_PER_JOB
    this.#runMs.set(jobId, -Math.log(1 - this.#random.nextFloat()) * meanRunMs)
    const spec: JobSpec = {
      jobId,
      organisationId: `team${this.#random.nextInt(1, ORGANISATIONS)}`,
      jobClass: `class${this.#random.nextInt(1, 3)}`,
      tasks,
      acceleratorModel: 'gpu',
      acceleratorsPerTask: this.#random.nextInt(1, 2),
      coresPerTask: 4,
      memoryGbPerTask: 16,
      adjacency: tasks > 4 ? 'none' : 'rack',
      declaredRunMs: meanRunMs * MAX_DECLARATION_ERROR_FACTOR ** (2 * this.#random.nextFloat() - 1),
      priority: this.#random.nextInt(1, 20) === 1 ? 'urgent' : 'normal',
      preemption: this.#random.nextInt(1, 10) === 1 ? 'none' : 'checkpoint'
    }
    this.#scheduler.submit(spec, this.#nowMs)
  }
}

/** Up to 3,000 workers, all have 8 accelerators. Larger ones have the planned mean: 1 rack in 25 has 8, others 2. */
function plannedConfiguration (workerCount: number): Configuration {
  const workers: Worker[] = []
  const racks = Math.ceil(workerCount / WORKERS_PER_RACK)
  for (let rack = 0; rack < racks; rack++) {
    const accelerators = workerCount <= 3_000 || rack % 25 === 0 ? 8 : 2
    const size = Math.min(WORKERS_PER_RACK, workerCount - rack * WORKERS_PER_RACK)
    for (let position = 0; position < size; position++) workers.push(benchWorker(`rack${rack}`, position, accelerators))
  }
  const organisationIds = Array.from({ length: ORGANISATIONS }, (_, number) => `team${number + 1}`)
  const guaranteed = organisationIds.slice(0, Math.min(ORGANISATIONS, Math.floor(workerCount / 4)))
  return {
    version: 1,
    racks: new Map(),
    workers: new Map(workers.map(worker => [worker.workerId, worker])),
    organisations: new Map(organisationIds.map(organisationId => [organisationId, quotaOf(organisationId)])),
    guarantees: new Map(guaranteed.map(organisationId => [organisationId, guaranteeOf(organisationId)])),
    rules: defaultRules
  }
}

function quotaOf (organisationId: string) {
  return { organisationId, quotaAccelerators: 1_000, weight: 1 }
}

function guaranteeOf (organisationId: string) {
  return { guaranteeId: organisationId, organisationId, acceleratorModel: 'gpu', acceleratorsPerCell: 8, cells: 1 }
}

function memoryBytes (): number {
  if (globalThis.gc === undefined) return 0
  globalThis.gc()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

/** Formats the rows as a table with ` | ` between the columns. */
export function formatDecisionTimes (rows: readonly DecisionTimeRow[]): string {
  const names = Object.keys(rows[0]!) as Array<keyof DecisionTimeRow>
  const lines = rows.map(row => names.map(name => Number(row[name].toPrecision(4))).join(' | '))
  return [names.join(' | '), ...lines].join('\n')
}
