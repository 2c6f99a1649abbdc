/** Worker sessions of a leader, each with the process, the last report and the lease of a worker. */
import { DeadlineQueue, type WorkerReport } from '@comfreygrade/core'
import type { ControlSettings } from './settings.js'
import type { WorkerRecord } from './workers.js'

/** Volatile state of a worker on the leader. */
export interface WorkerSession {
  readonly workerId: string
  readonly incarnation: number
  /** Sequence number of the last report; -1 before the first one. */
  readonly sequence: number
  readonly address: string
  /** False once the lease has certainly expired, until the next report. */
  readonly hasLease: boolean
}

/** Position of a report relative to the session; an old one precedes the last report or is from an earlier process. */
export type ReportFreshness = 'first' | 'next' | 'old_sequence' | 'new_incarnation' | 'old_incarnation'

/** Sessions of all workers. Their leases were granted by this leader or taken over from its predecessors. */
export class WorkerSessions {
  readonly #expiryDelayMs: number
  readonly #sessions = new Map<string, WorkerSession>()
  readonly #expiries = new DeadlineQueue()

  constructor (settings: ControlSettings) {
    this.#expiryDelayMs = settings.leaseMs * (1 + settings.clockRateBound)
  }

  /** Takes over a worker from the replicated state. A former leader may have renewed its lease until `nowMs`. */
  adopt ({ workerId, incarnation, address, state }: WorkerRecord, nowMs: number): void {
    const hasLease = state !== 'lost'
    this.#sessions.set(workerId, { workerId, incarnation, sequence: -1, address, hasLease })
    if (hasLease) this.#expiries.set(workerId, nowMs + this.#expiryDelayMs)
  }

  find (workerId: string): WorkerSession | undefined {
    return this.#sessions.get(workerId)
  }

  /**
   * Renews the lease of a worker on receipt of its report. If the answer is never sent, the worker does not renew its
   * own lease, so the expiry assumed here is merely late.
   */
  renewLease ({ workerId, incarnation, sequence, address }: WorkerReport, nowMs: number): ReportFreshness {
    const freshness = reportFreshness(this.#sessions.get(workerId), incarnation, sequence)
    if (freshness === 'old_incarnation') return freshness
    // A report that arrives out of order is answered with a lease too, so it also extends the expiry.
    this.#expiries.set(workerId, nowMs + this.#expiryDelayMs)
    if (freshness === 'old_sequence') return freshness
    this.#sessions.set(workerId, { workerId, incarnation, sequence, address, hasLease: true })
    return freshness
  }

  remove (workerId: string): void {
    this.#sessions.delete(workerId)
    this.#expiries.delete(workerId)
  }

  /** Ends the leases that have certainly expired on their workers, and returns their sessions. */
  endExpiredLeases (nowMs: number): WorkerSession[] {
    const expired: WorkerSession[] = []
    for (const workerId of this.#expiries.takeDue(nowMs)) {
      const session = this.#sessions.get(workerId)
      if (session === undefined) continue
      const expiredSession = { ...session, hasLease: false }
      this.#sessions.set(workerId, expiredSession)
      expired.push(expiredSession)
    }
    return expired
  }

  nextWakeAtMs (): number | undefined {
    return this.#expiries.earliestDeadlineMs()
  }
}

function reportFreshness (session: WorkerSession | undefined, incarnation: number, sequence: number): ReportFreshness {
  if (session === undefined) return 'first'
  if (incarnation > session.incarnation) return 'new_incarnation'
  if (incarnation < session.incarnation) return 'old_incarnation'
  return sequence > session.sequence ? 'next' : 'old_sequence'
}
