/** How a stand-in backend server treats a request: served well, or one of the faults that tests need. */
import { setTimeout as delay } from 'node:timers/promises'

/** What a behaviour may do with one request. */
export interface BackendExchange {
  /** Takes a slot, works for the service time and records the execution. */
  execute (): Promise<void>
  /** Sends the normal answer: status 200 with the request's body. */
  answer (): void
  /** Answers with a status; `isNotRun` adds `comfreygrade-not-run: true`. */
  refuse (status: number, isNotRun: boolean): void
  /** Closes the connection without an answer. */
  cut (): void
}

/** Names of the behaviours, for settings. */
export const backendBehaviourNames =
  ['serve', 'reject', 'fail_fast', 'freeze', 'answer_late', 'cut_after_executing'] as const

/** Name of a behaviour. */
export type BackendBehaviourName = typeof backendBehaviourNames[number]

/** Decides what happens with each request. */
export abstract class BackendBehaviour {
  /** Whether the server still announces itself. */
  get isAnnounced (): boolean {
    return true
  }

  /** Handles one request that was read completely. */
  abstract handle (exchange: BackendExchange): Promise<void>
}

/** Executes and answers. */
export class ServeBehaviour extends BackendBehaviour {
  override async handle (exchange: BackendExchange): Promise<void> {
    await exchange.execute()
    exchange.answer()
  }
}

/** Refuses everything with 503 and the promise that the work did not run. */
export class RejectBehaviour extends BackendBehaviour {
  override async handle (exchange: BackendExchange): Promise<void> {
    exchange.refuse(503, true)
  }
}

/** Answers 500 at once; nothing is executed, but the caller cannot know it. */
export class FailFastBehaviour extends BackendBehaviour {
  override async handle (exchange: BackendExchange): Promise<void> {
    exchange.refuse(500, false)
  }
}

/** Accepts connections and requests and never answers, as a frozen VM does. */
export class FreezeBehaviour extends BackendBehaviour {
  override get isAnnounced (): boolean {
    return false
  }

  override async handle (): Promise<void> {}
}

/** Executes, then answers `lateMs` later than it could. */
export class AnswerLateBehaviour extends BackendBehaviour {
  readonly #lateMs: number

  constructor (lateMs: number) {
    super()
    this.#lateMs = lateMs
  }

  override async handle (exchange: BackendExchange): Promise<void> {
    await exchange.execute()
    await delay(this.#lateMs)
    exchange.answer()
  }
}

/** Executes, then closes the connection: the work ran and the caller cannot know it. */
export class CutAfterExecutingBehaviour extends BackendBehaviour {
  override async handle (exchange: BackendExchange): Promise<void> {
    await exchange.execute()
    exchange.cut()
  }
}

/**
 * Gives the behaviour of a name; `lateMs` is used by `answer_late`.
 *
 * @example
 * backendBehaviour('answer_late', 500)
 */
export function backendBehaviour (name: BackendBehaviourName, lateMs = 1_000): BackendBehaviour {
  switch (name) {
    case 'serve': return new ServeBehaviour()
    case 'reject': return new RejectBehaviour()
    case 'fail_fast': return new FailFastBehaviour()
    case 'freeze': return new FreezeBehaviour()
    case 'answer_late': return new AnswerLateBehaviour(lateMs)
    case 'cut_after_executing': return new CutAfterExecutingBehaviour()
  }
}
