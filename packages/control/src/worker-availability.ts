/** Availability of workers for new placements, as the scheduler is notified of it. */
import { DeadlineQueue } from '@comfreygrade/core'
import type { LeaderContext } from './leader-context.js'
import type { SchedulerDriver } from './scheduler-driver.js'

/**
 * `draining` covers workers that announced their leave, are drained by an operator or are excluded: they get no new
 * tasks, and their running tasks keep their cells.
 */
type SchedulerAvailability = 'available' | 'draining' | 'lost'

/** Derives the availability of each worker and notifies the scheduler of changes. */
export class WorkerAvailability {
  readonly #context: LeaderContext
  readonly #schedulerDriver: SchedulerDriver
  readonly #notifiedAvailability = new Map<string, SchedulerAvailability>()
  readonly #exclusions = new DeadlineQueue()
  readonly #exclusionCounts = new Map<string, number>()

  constructor (context: LeaderContext, schedulerDriver: SchedulerDriver) {
    this.#context = context
    this.#schedulerDriver = schedulerDriver
  }

  /** Notifies the scheduler if the availability of a worker differs from its last notification. */
  refresh (workerId: string, nowMs: number): void {
    const availability = this.#availabilityOf(workerId)
    if ((this.#notifiedAvailability.get(workerId) ?? 'lost') === availability) return
    if (availability === 'lost') this.#notifiedAvailability.delete(workerId)
    else this.#notifiedAvailability.set(workerId, availability)
    this.#notifyScheduler(workerId, availability, nowMs)
    this.#schedulerDriver.requestPass()
  }

  /**
   * Excludes a worker that refused a placement or did not answer from new ones, for a period that doubles each time.
   * This does not count as a failure of the job: no task ran, and after a rack failure one gang may encounter several
   * such workers.
   */
  exclude (workerId: string, nowMs: number): void {
    if (this.#exclusions.get(workerId) !== undefined) return
    const { workerHoldMs, maxWorkerHoldMs } = this.#context.settings
    const count = this.#exclusionCounts.get(workerId) ?? 0
    this.#exclusionCounts.set(workerId, count + 1)
    // The exponent is limited so that the power stays finite.
    this.#exclusions.set(workerId, nowMs + Math.min(maxWorkerHoldMs, workerHoldMs * 2 ** Math.min(count, 16)))
    this.#context.metrics.increment('worker_excluded')
    this.refresh(workerId, nowMs)
  }

  /** Resets the exclusion period of a worker to its first value, after it started a task. */
  resetExclusionBackoff (workerId: string): void {
    this.#exclusionCounts.delete(workerId)
  }

  tick (nowMs: number): void {
    for (const workerId of this.#exclusions.takeDue(nowMs)) this.refresh(workerId, nowMs)
  }

  nextWakeAtMs (): number | undefined {
    return this.#exclusions.earliestDeadlineMs()
  }

  #availabilityOf (workerId: string): SchedulerAvailability {
    const { state, sessions } = this.#context
    const record = state.worker(workerId)
    if (record === undefined || record.state === 'lost' || sessions.find(workerId)?.hasLease !== true) return 'lost'
    if (!state.configuration.workers.has(workerId)) return 'lost'
    const isDraining = record.state !== 'active' || state.hasDrain('worker', workerId)
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

  /** A worker has to be joined before it can be drained. Its running tasks keep their cells. */
  #drain (workerId: string, nowMs: number): void {
    this.#context.scheduler.workerJoined(workerId, nowMs)
    this.#context.scheduler.drainWorker(workerId)
  }
}
