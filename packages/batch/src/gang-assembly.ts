/** Start orders of gangs: sent to all members at once where that is possible soon. */
import type { Clock } from '@comfreygrade/core'
import { assignmentKey, gangRunKey } from './run-keys.js'
import type { Assignment } from './commands.js'

interface AssemblingGang {
  readonly endsAtMs: number
  /** Members whose start orders have not been sent, by assignment. */
  readonly unsent: Map<string, Assignment>
}

/**
 * Members of a gang that have started occupy their workers idly until the last one starts. An order reaches a worker
 * only in the answer to a heartbeat, so members whose workers wait for an answer are not started before all others can
 * be, for at most `assemblyMs` after the assignment.
 *
 * Load pattern: gangs of dozens of members, and heartbeats of which some arrive only after their workers have given
 * them up.
 */
export class GangAssembly {
  readonly #clock: Clock
  readonly #assemblyMs: number
  readonly #gangs = new Map<string, AssemblingGang>()
  readonly #gangsByWorker = new Map<string, Set<AssemblingGang>>()

  constructor (clock: Clock, assemblyMs: number) {
    this.#clock = clock
    this.#assemblyMs = assemblyMs
  }

  /** Adds members of one or more gangs that were assigned together. */
  add (assignments: readonly Assignment[]): void {
    const endsAtMs = this.#clock.monotonicMs() + this.#assemblyMs
    for (const assignment of assignments) {
      const key = gangRunKey(assignment)
      const gang = this.#gangs.get(key) ?? { endsAtMs, unsent: new Map() }
      this.#gangs.set(key, gang)
      gang.unsent.set(assignmentKey(assignment), assignment)
      const gangs = this.#gangsByWorker.get(assignment.workerId) ?? new Set()
      this.#gangsByWorker.set(assignment.workerId, gangs.add(gang))
    }
  }

  /** Whether a member should not be started yet, since others cannot be. */
  isAssembling (assignment: Assignment): boolean {
    const gang = this.#gangs.get(gangRunKey(assignment))
    return gang !== undefined && this.#clock.monotonicMs() < gang.endsAtMs
  }

  /** Whether a worker has a member of a gang that is being assembled. */
  hasAssemblingMember (workerId: string): boolean {
    const nowMs = this.#clock.monotonicMs()
    return [...this.#gangsByWorker.get(workerId) ?? []].some(gang => nowMs < gang.endsAtMs)
  }

  /**
   * Ends the assembly of those gangs of a worker whose members can all be started now; returns the workers of the
   * members.
   */
  takeComplete (workerId: string, canStart: (workerId: string) => boolean): string[] {
    const complete = [...this.#gangsByWorker.get(workerId) ?? []]
      .filter(gang => [...gang.unsent.values()].every(member => canStart(member.workerId)))
    return complete.flatMap(gang => {
      const members = [...gang.unsent.values()]
      for (const member of members) this.remove(member)
      return members.map(member => member.workerId)
    })
  }

  /** Removes a member whose start order was sent or that is stopped. */
  remove (assignment: Assignment): void {
    const key = gangRunKey(assignment)
    const gang = this.#gangs.get(key)
    if (gang === undefined || !gang.unsent.delete(assignmentKey(assignment))) return
    const gangsOfWorker = this.#gangsByWorker.get(assignment.workerId)
    const isLastOnWorker = [...gang.unsent.values()].every(member => member.workerId !== assignment.workerId)
    if (isLastOnWorker) gangsOfWorker?.delete(gang)
    if (gangsOfWorker?.size === 0) this.#gangsByWorker.delete(assignment.workerId)
    if (gang.unsent.size === 0) this.#gangs.delete(key)
  }

  /** Ends the assembly of gangs that have waited long enough, whose members are then started one by one. */
  removeOverdue (): void {
    const nowMs = this.#clock.monotonicMs()
    for (const gang of this.#gangs.values()) {
      if (nowMs < gang.endsAtMs) continue
      for (const member of [...gang.unsent.values()]) this.remove(member)
    }
  }
}
