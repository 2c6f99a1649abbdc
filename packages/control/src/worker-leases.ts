/** What this leader knows of each worker: its process, its last report and when its lease certainly ended. */
import type { WorkerReport } from '@comfreygrade/core'
import { DeadlineQueue } from './deadline-queue.js'
import type { ControlSettings } from './settings.js'
import type { WorkerRecord } from './workers.js'

/** A worker in the memory of the leader. */
export interface WorkerSession {
  readonly workerId: string
  readonly incarnation: number
  readonly sequence: number
  readonly address: string
  /** False once its lease certainly ended; true again from its next report. */
  readonly hasLease: boolean
}

/** How a report relates to what was known: an old one is from before the last report or an earlier process. */
export type ReportFreshness = 'first' | 'next' | 'old_sequence' | 'new_incarnation' | 'old_incarnation'

/** Leases of workers under one leader. */
export class WorkerLeases {
  readonly #expiryMs: number
  readonly #sessions = new Map<string, WorkerSession>()
  readonly #expiries = new DeadlineQueue()

  constructor (settings: ControlSettings) {
    this.#expiryMs = settings.leaseMs * (1 + settings.clockRateBound)
  }

  /** Takes over a worker of the replicated state; another leader may have renewed its lease until `nowMs`. */
  adopt ({ workerId, incarnation, address, state }: WorkerRecord, nowMs: number): void {
    const hasLease = state !== 'lost'
    this.#sessions.set(workerId, { workerId, incarnation, sequence: -1, address, hasLease })
    if (hasLease) this.#expiries.set(workerId, nowMs + this.#expiryMs)
  }

  get (workerId: string): WorkerSession | undefined {
    return this.#sessions.get(workerId)
  }

  /** Takes in a report. The lease counts as renewed even if the answer is never sent, which only delays its end. */
  renew ({ workerId, incarnation, sequence, address }: WorkerReport, nowMs: number): ReportFreshness {
    const freshness = reportFreshness(this.#sessions.get(workerId), incarnation, sequence)
    if (freshness === 'old_incarnation') return freshness
    this.#expiries.set(workerId, nowMs + this.#expiryMs)
    if (freshness === 'old_sequence') return freshness
    this.#sessions.set(workerId, { workerId, incarnation, sequence, address, hasLease: true })
    return freshness
  }

  remove (workerId: string): void {
    this.#sessions.delete(workerId)
    this.#expiries.delete(workerId)
  }

  /** Ends and gives the leases that no worker can hold any more. */
  takeExpired (nowMs: number): WorkerSession[] {
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
    return this.#expiries.nextWakeAtMs()
  }
}

function reportFreshness (known: WorkerSession | undefined, incarnation: number, sequence: number): ReportFreshness {
  if (known === undefined) return 'first'
  if (incarnation > known.incarnation) return 'new_incarnation'
  if (incarnation < known.incarnation) return 'old_incarnation'
  return sequence > known.sequence ? 'next' : 'old_sequence'
}
