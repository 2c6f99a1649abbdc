/** Runs on a stand-in worker: how they go on and end by themselves. */
import type { Clock } from '@comfreygrade/core'
import type { EndReason } from '@comfreygrade/batch'
import type { GangMeetings, GangPlan } from './gang-meetings.js'

/** Progress of a run that has not ended. */
const MAX_RUNNING_PERCENT = 99

/** One run, until it has ended. */
export abstract class LeasedRun {
  readonly run: number
  /** Time by which a stop takes effect; undefined where the run is not being stopped. */
  stopsAtMs: number | undefined

  constructor (run: number) {
    this.run = run
  }

  /** How the run has ended by itself; undefined while it goes on. */
  abstract get ownEnd (): EndReason | undefined

  /** Called once the run has ended, however it has. */
  abstract end (reason: EndReason | undefined): void

  protected abstract get progress (): number

  get percent (): number {
    return Math.min(MAX_RUNNING_PERCENT, Math.floor(this.progress * 100))
  }
}

/** A run that depends on no other one. */
export class SingleRun extends LeasedRun {
  readonly #clock: Clock
  readonly #startedMs: number
  readonly #durationMs: number
  readonly #fails: boolean

  constructor (run: number, clock: Clock, durationMs: number, fails: boolean) {
    super(run)
    this.#clock = clock
    this.#startedMs = clock.monotonicMs()
    this.#durationMs = durationMs
    this.#fails = fails
  }

  override get ownEnd (): EndReason | undefined {
    if (this.progress < 1) return undefined
    return this.#fails ? 'failed' : 'done'
  }

  override end (): void {}

  protected override get progress (): number {
    return (this.#clock.monotonicMs() - this.#startedMs) / this.#durationMs
  }
}

/** A member of a gang. */
export class GangMember extends LeasedRun {
  readonly #gangs: GangMeetings
  readonly #gangRun: string
  readonly #taskKey: string

  constructor (run: number, taskKey: string, gangs: GangMeetings, plan: GangPlan) {
    super(run)
    this.#gangs = gangs
    this.#gangRun = `${taskKey.slice(0, taskKey.lastIndexOf('.'))}#${run}`
    this.#taskKey = taskKey
    gangs.join(this.#gangRun, taskKey, plan)
  }

  override get ownEnd (): EndReason | undefined {
    const phase = this.#gangs.phaseOf(this.#gangRun, this.#taskKey)
    return phase === 'waiting' || phase === 'working' ? undefined : phase
  }

  override end (reason: EndReason | undefined): void {
    if (reason !== 'done') this.#gangs.leave(this.#gangRun)
  }

  protected override get progress (): number {
    return this.#gangs.progressOf(this.#gangRun)
  }
}
