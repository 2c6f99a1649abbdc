/** Which workers the scheduler may place on. */
import { DeadlineQueue } from './deadline-queue.js'
import type { LeaderContext } from './leader-context.js'
import type { SchedulerDriver } from './scheduler-driver.js'

type SchedulerAvailability = 'available' | 'draining' | 'lost'

/** Tells the scheduler of each change of a worker once. */
export class WorkerAvailability {
  readonly #context: LeaderContext
  readonly #schedulerDriver: SchedulerDriver
  readonly #reported = new Map<string, SchedulerAvailability>()
  readonly #exclusions = new DeadlineQueue()
  readonly #exclusionCounts = new Map<string, number>()

  constructor (context: LeaderContext, schedulerDriver: SchedulerDriver) {
    this.#context = context
    this.#schedulerDriver = schedulerDriver
  }

  /** Compares a worker with what the scheduler was told, and tells it the difference. */
  refresh (workerId: string, nowMs: number): void {
    const availability = this.#availabilityOf(workerId)
    if ((this.#reported.get(workerId) ?? 'lost') === availability) return
    if (availability === 'lost') this.#reported.delete(workerId)
    else this.#reported.set(workerId, availability)
    this.#notifyScheduler(workerId, availability, nowMs)
    this.#schedulerDriver.requestPass()
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
  resetExclusionBackoff (workerId: string): void {
    this.#exclusionCounts.delete(workerId)
  }

  tick (nowMs: number): void {
    for (const workerId of this.#exclusions.takeDue(nowMs)) this.refresh(workerId, nowMs)
  }

  nextWakeAtMs (): number | undefined {
    return this.#exclusions.nextWakeAtMs()
  }

  #availabilityOf (workerId: string): SchedulerAvailability {
    const { state, leases } = this.#context
    const record = state.worker(workerId)
    if (record === undefined || record.state === 'lost' || leases.get(workerId)?.hasLease !== true) return 'lost'
    if (!state.configuration.workers.has(workerId)) return 'lost'
    const isDraining = record.state !== 'active' || state.isDrained('worker', workerId)
    return isDraining || this.#exclusions.get(workerId) !== undefined ? 'draining' : 'available'
  }

  #notifyScheduler (workerId: string, availability: SchedulerAvailability, nowMs: number): void {
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
