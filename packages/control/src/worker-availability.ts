/** Which workers the scheduler may place on. */
import { DeadlineQueue } from './deadline-queue.js'
import type { LeaderContext } from './leader-context.js'
import type { Scheduling } from './scheduling.js'

type Availability = 'available' | 'draining' | 'lost'

/** Tells the scheduler of each change of a worker once. */
export class WorkerAvailability {
  readonly #context: LeaderContext
  readonly #scheduling: Scheduling
  readonly #told = new Map<string, Availability>()
  readonly #exclusions = new DeadlineQueue()
  readonly #exclusionCounts = new Map<string, number>()

  constructor (context: LeaderContext, scheduling: Scheduling) {
    this.#context = context
    this.#scheduling = scheduling
  }

  /** Compares a worker with what the scheduler was told, and tells it the difference. */
  refresh (workerId: string, nowMs: number): void {
    const availability = this.#judge(workerId)
    if ((this.#told.get(workerId) ?? 'lost') === availability) return
    if (availability === 'lost') this.#told.delete(workerId)
    else this.#told.set(workerId, availability)
    this.#tell(workerId, availability, nowMs)
    this.#scheduling.markChanged()
  }

  /**
   * Keeps new placements off a worker that refused one or did not answer, for a time that doubles. Such a worker does
   * not count as a failure of the job: when a rack fails, a gang meets several of them, and no task ran.
   */
  exclude (workerId: string, nowMs: number): void {
    if (this.#exclusions.get(workerId) !== undefined) return
    const { workerHoldMs, maxWorkerHoldMs } = this.#context.settings
    const count = this.#exclusionCounts.get(workerId) ?? 0
    this.#exclusionCounts.set(workerId, count + 1)
    this.#exclusions.set(workerId, nowMs + Math.min(maxWorkerHoldMs, workerHoldMs * 2 ** Math.min(count, 16)))
    this.#context.metrics.increment('worker_excluded')
    this.refresh(workerId, nowMs)
  }

  /** Takes in that a worker started a task, which ends the doubling. */
  worked (workerId: string): void {
    this.#exclusionCounts.delete(workerId)
  }

  tick (nowMs: number): void {
    for (const workerId of this.#exclusions.takeDue(nowMs)) this.refresh(workerId, nowMs)
  }

  nextAtMs (): number | undefined {
    return this.#exclusions.nextAtMs()
  }

  #judge (workerId: string): Availability {
    const { state, leases } = this.#context
    const record = state.worker(workerId)
    if (record === undefined || record.state === 'lost' || leases.get(workerId)?.hasLease !== true) return 'lost'
    if (!state.configuration.workers.has(workerId)) return 'lost'
    const isClosed = record.state !== 'active' || state.isDrained('worker', workerId)
    return isClosed || this.#exclusions.get(workerId) !== undefined ? 'draining' : 'available'
  }

  #tell (workerId: string, availability: Availability, nowMs: number): void {
    const { scheduler } = this.#context
    switch (availability) {
      case 'available': scheduler.workerJoined(workerId, nowMs); break
      case 'draining': this.#drain(workerId, nowMs); break
      case 'lost': scheduler.workerLost(workerId, nowMs); break
    }
  }

  /** A worker has to be joined before it can be drained; its tasks keep their cells meanwhile. */
  #drain (workerId: string, nowMs: number): void {
    this.#context.scheduler.workerJoined(workerId, nowMs)
    this.#context.scheduler.drainWorker(workerId)
  }
}
