/** First-fit implementation of the scheduler port, to which tests can add decisions. */
import type { Configuration, Failure, JobExplanation, JobSpec, Placement, TaskPlacement } from '@comfreygrade/core'
import type { FleetReport, PlacementDecision, ReclaimCheck } from '@comfreygrade/placement'
import { GuaranteeValidator, JobScheduler } from '../src/index.js'

const MAX_JOB_FAILURES = 6

export class FakeScheduler extends JobScheduler {
  /** Additional decisions that the next pass returns. */
  readonly extraDecisions: PlacementDecision[] = []
  readonly calls: string[] = []
  readonly #waiting = new Map<string, JobSpec>()
  readonly #placed = new Map<string, Placement>()
  readonly #available = new Set<string>()
  readonly #failures = new Map<string, number>()
  #configuration: Configuration | undefined

  override applyConfiguration (configuration: Configuration): void {
    this.#configuration = configuration
  }

  override workerJoined (workerId: string): void {
    this.#available.add(workerId)
  }

  override workerLost (workerId: string): void {
    this.#available.delete(workerId)
  }

  override drainWorker (workerId: string): void {
    this.#available.delete(workerId)
  }

  override submit (job: JobSpec): Failure | undefined {
    if (job.acceleratorModel !== 'gpu') return { kind: 'impossible_shape', detail: `no ${job.acceleratorModel} exists` }
    this.#waiting.set(job.jobId, job)
    return undefined
  }

  override restore (job: JobSpec, placement: Placement): void {
    this.calls.push(`restore ${job.jobId}`)
    this.#placed.set(job.jobId, placement)
  }

  override cancel (jobId: string): void {
    this.calls.push(`cancel ${jobId}`)
    this.#waiting.delete(jobId)
  }

  override taskFailed (jobId: string, workerId: string): void {
    this.calls.push(`taskFailed ${jobId} ${workerId}`)
    this.#failures.set(jobId, (this.#failures.get(jobId) ?? 0) + 1)
  }

  override jobEnded (jobId: string): void {
    this.calls.push(`ended ${jobId}`)
    this.#placed.delete(jobId)
  }

  override jobReclaimed (jobId: string): void {
    this.calls.push(`reclaimed ${jobId}`)
    this.#placed.delete(jobId)
  }

  override runPass (): PlacementDecision[] {
    const decisions = this.extraDecisions.splice(0)
    for (const job of [...this.#waiting.values()]) {
      const decision = this.#decide(job)
      if (decision !== undefined) decisions.push(decision)
    }
    return decisions
  }

  override explain (jobId: string): JobExplanation {
    return { jobId, state: 'waiting', reason: 'first fit', queuePosition: 1, blockedByJobIds: [] }
  }

  override report (): FleetReport {
    return {
      accelerators: 0,
      acceleratorsInUse: 0,
      acceleratorsLost: 0,
      fragmentation: 0,
      waitingJobs: this.#waiting.size,
      runningJobs: this.#placed.size,
      guarantees: [],
      quarantinedWorkerIds: [],
      drainingWorkerIds: []
    }
  }

  override checkReclaimable (): ReclaimCheck {
    return { isReclaimable: true, missingCells: [] }
  }

  #decide (job: JobSpec): PlacementDecision | undefined {
    const { jobId } = job
    if ((this.#failures.get(jobId) ?? 0) >= MAX_JOB_FAILURES) {
      return { kind: 'stop', jobId, failure: { kind: 'internal_error', detail: 'the job fails everywhere' } }
    }
    const placement = this.#findFirstFit(job)
    if (placement === undefined) return undefined
    this.#waiting.delete(jobId)
    this.#placed.set(jobId, placement)
    return { kind: 'place', jobId, placement }
  }

  #findFirstFit (job: JobSpec): Placement | undefined {
    const tasks: TaskPlacement[] = []
    const allocated = new Set([...this.#placed.values()].flatMap(({ tasks }) => tasks.flatMap(acceleratorIds)))
    for (const workerId of this.#available) {
      const accelerators = this.#configuration?.workers.get(workerId)?.accelerators ?? 0
      for (let first = 0; first + job.acceleratorsPerTask <= accelerators; first += job.acceleratorsPerTask) {
        const cell = {
          taskIndex: tasks.length, workerId, firstAccelerator: first, acceleratorCount: job.acceleratorsPerTask
        }
        const isFree = !acceleratorIds(cell).some(name => allocated.has(name))
        if (isFree && tasks.length < job.tasks) tasks.push(cell)
      }
    }
    return tasks.length === job.tasks ? { capacityClass: 'lent', tasks, reason: 'first fit' } : undefined
  }
}

function acceleratorIds ({ workerId, firstAccelerator, acceleratorCount }: TaskPlacement): string[] {
  return Array.from({ length: acceleratorCount }, (_, offset) => `${workerId}/${firstAccelerator + offset}`)
}

/** Accepts up to `limit` guaranteed cells. */
export class FakeValidator extends GuaranteeValidator {
  readonly limit: number

  constructor (limit = 100) {
    super()
    this.limit = limit
  }

  override validate (configuration: Configuration): Failure | undefined {
    let cells = 0
    for (const guarantee of configuration.guarantees.values()) cells += guarantee.cells
    return cells <= this.limit
      ? undefined
      : { kind: 'guarantee_unsatisfiable', detail: `${cells} cells are guaranteed, ${this.limit} exist` }
  }
}
