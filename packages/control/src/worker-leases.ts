/** What this leader knows of each worker: its process, its last report and when its lease certainly ended. */
import type { WorkerReport } from '@comfreygrade/core'
import { DeadlineQueue } from './deadline-queue.js'
import type { ControlSettings } from './settings.js'
import type { WorkerRecord } from './workers.js'

/** A worker in the memory of the leader. */
export interface WorkerContact {
  readonly workerId: string
  readonly incarnation: number
  readonly sequence: number
  readonly address: string
  /** False once its lease certainly ended; true again from its next report. */
  readonly hasLease: boolean
}

/** How a report relates to what was known: an old one is from before the last report or an earlier process. */
export type ReportAge = 'first' | 'next' | 'old_sequence' | 'new_incarnation' | 'old_incarnation'

/** Leases of workers under one leader. */
export class WorkerLeases {
  readonly #waitMs: number
  readonly #contacts = new Map<string, WorkerContact>()
  readonly #ends = new DeadlineQueue()

  constructor (settings: ControlSettings) {
    this.#waitMs = settings.leaseMs * (1 + settings.clockRateBound)
  }

  /** Takes over a worker of the replicated state; another leader may have renewed its lease until `nowMs`. */
  adopt ({ workerId, incarnation, address, state }: WorkerRecord, nowMs: number): void {
    const hasLease = state !== 'lost'
    this.#contacts.set(workerId, { workerId, incarnation, sequence: -1, address, hasLease })
    if (hasLease) this.#ends.set(workerId, nowMs + this.#waitMs)
  }

  get (workerId: string): WorkerContact | undefined {
    return this.#contacts.get(workerId)
  }

  /** Takes in a report. The lease counts as renewed even if the answer is never sent, which only delays its end. */
  report ({ workerId, incarnation, sequence, address }: WorkerReport, nowMs: number): ReportAge {
    const age = reportAge(this.#contacts.get(workerId), incarnation, sequence)
    if (age === 'old_incarnation') return age
    this.#ends.set(workerId, nowMs + this.#waitMs)
    if (age === 'old_sequence') return age
    this.#contacts.set(workerId, { workerId, incarnation, sequence, address, hasLease: true })
    return age
  }

  forget (workerId: string): void {
    this.#contacts.delete(workerId)
    this.#ends.delete(workerId)
  }

  /** Ends and gives the leases that no worker can hold any more. */
  takeEnded (nowMs: number): WorkerContact[] {
    const ended: WorkerContact[] = []
    for (const workerId of this.#ends.takeDue(nowMs)) {
      const contact = this.#contacts.get(workerId)
      if (contact === undefined) continue
      const lost = { ...contact, hasLease: false }
      this.#contacts.set(workerId, lost)
      ended.push(lost)
    }
    return ended
  }

  nextAtMs (): number | undefined {
    return this.#ends.nextAtMs()
  }
}

function reportAge (known: WorkerContact | undefined, incarnation: number, sequence: number): ReportAge {
  if (known === undefined) return 'first'
  if (incarnation > known.incarnation) return 'new_incarnation'
  if (incarnation < known.incarnation) return 'old_incarnation'
  return sequence > known.sequence ? 'next' : 'old_sequence'
}
