/** Log lines that say why steps wait. */
import type { Clock, EventLog } from '@comfreygrade/core'
import type { PassDecision, StepWait, WaitReason } from './scheduling-pass.js'
import type { WaitingStep } from './waiting-steps.js'
import { waitingStepKey } from './worker-selection.js'

/** A step that has waited for a shorter time is not logged. */
const MIN_WAIT_MS = 1_000
/** The line of a step that waits for the same reason is repeated after this time. */
const REPEAT_MS = 2_000

interface LoggedWait {
  readonly reason: WaitReason
  readonly loggedAtMs: number
}

/** Writes a line when the reason for which a step waits changes, and repeats it while it does not. */
export class WaitLog {
  readonly #clock: Clock
  readonly #log: EventLog
  #logged = new Map<string, LoggedWait>()

  constructor (clock: Clock, log: EventLog) {
    this.#clock = clock
    this.#log = log
  }

  /** Takes the waits of a pass; steps that are not among them wait no longer, or were not considered. */
  record ({ waits, unschedulableWorkers }: Pick<PassDecision, 'waits' | 'unschedulableWorkers'>): void {
    const logged = new Map<string, LoggedWait>()
    const workers = unschedulableWorkers.size === 0 ? undefined : Object.fromEntries(unschedulableWorkers)
    for (const wait of waits) {
      if (wait.step.waitedMs < MIN_WAIT_MS) continue
      const key = waitingStepKey(wait.step)
      logged.set(key, this.#write(key, wait, workers, this.#logged.get(key)))
    }
    this.#logged = logged
  }

  #write (
    stepKey: string, wait: StepWait, unschedulableWorkers: object | undefined, last: LoggedWait | undefined
  ): LoggedWait {
    const { step, reason, taskCount, expectedStartMs } = wait
    const nowMs = this.#clock.monotonicMs()
    if (last !== undefined && last.reason === reason && nowMs - last.loggedAtMs < REPEAT_MS) return last
    this.#log.info('step waits', {
      stepKey,
      reason,
      tasks: taskCount,
      waitedMs: Math.round(step.waitedMs),
      expectedStartMs,
      predictedMs: learnedRunMs(step),
      unschedulableWorkers
    })
    return { reason, loggedAtMs: nowMs }
  }
}

/** The predicted run time; undefined where it is the caller's estimate, which the line of the submission has. */
function learnedRunMs ({ runTime: { typicalMs, sampleCount } }: WaitingStep): number | undefined {
  return sampleCount > 0 ? Math.round(typicalMs) : undefined
}
