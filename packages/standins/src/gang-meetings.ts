/** Gangs on stand-in workers: their members work only together, and end together. */
import type { Clock } from '@comfreygrade/core'

/** What becomes of a member: it waits for the others, works with them, or must end. */
export type GangPhase = 'waiting' | 'working' | 'done' | 'failed' | 'broken' | 'alone'

interface Gang {
  readonly size: number
  readonly durationMs: number
  /** The member that fails, and after how much work; undefined where none does. */
  readonly failure: { readonly taskKey: string, readonly afterMs: number } | undefined
  readonly firstJoinedMs: number
  readonly members: Set<string>
  startedMs: number | undefined
  isBroken: boolean
}

/** What all members of one run of a gang agree on. */
export type GangPlan = Pick<Gang, 'size' | 'durationMs' | 'failure'>

/** Time for which a member waits for the others. */
const GANG_WAIT_MS = 3_000

/** Runs of gangs on all workers, in true time. */
export class GangMeetings {
  readonly #clock: Clock
  readonly #gangs = new Map<string, Gang>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** A member is present; all work from the moment at which the last one is. */
  join (gangRun: string, taskKey: string, plan: GangPlan): void {
    const nowMs = this.#clock.monotonicMs()
    const gang = this.#gangs.get(gangRun) ??
      { ...plan, firstJoinedMs: nowMs, members: new Set<string>(), startedMs: undefined, isBroken: false }
    this.#gangs.set(gangRun, gang)
    gang.members.add(taskKey)
    if (gang.members.size === gang.size && !gang.isBroken) gang.startedMs ??= nowMs
  }

  /** A member has ended in any other way than as done, so the others are broken. */
  leave (gangRun: string): void {
    const gang = this.#gangs.get(gangRun)
    if (gang !== undefined && !this.#isDone(gang)) gang.isBroken = true
  }

  /** What becomes of a member now. */
  phaseOf (gangRun: string, taskKey: string): GangPhase {
    const gang = this.#gangs.get(gangRun)
    if (gang === undefined || gang.isBroken) return 'broken'
    if (gang.startedMs === undefined) {
      return this.#clock.monotonicMs() - gang.firstJoinedMs >= GANG_WAIT_MS ? 'alone' : 'waiting'
    }
    const workedMs = this.#clock.monotonicMs() - gang.startedMs
    if (gang.failure?.taskKey === taskKey && workedMs >= gang.failure.afterMs) return 'failed'
    return this.#isDone(gang) ? 'done' : 'working'
  }

  /** Share of the work that is done. */
  progressOf (gangRun: string): number {
    const gang = this.#gangs.get(gangRun)
    if (gang?.startedMs === undefined) return 0
    return (this.#clock.monotonicMs() - gang.startedMs) / gang.durationMs
  }

  #isDone (gang: Gang): boolean {
    return gang.startedMs !== undefined && gang.failure === undefined &&
      this.#clock.monotonicMs() - gang.startedMs >= gang.durationMs
  }
}
