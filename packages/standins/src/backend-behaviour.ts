/** Behaviours of a stand-in backend server: normal service, or one of the faults that tests inject. */
import { pause } from '@comfreygrade/timers'

/** Actions that a behaviour can take on one request. */
export interface BackendExchange {
  /** Acquires a slot, waits for the service time and records the execution. */
  execute (): Promise<void>
  /** Sends the normal response: status 200 with the request's body. */
  respond (): void
  /** Responds with an error status; `isNotExecuted` adds the header `comfreygrade-not-run: true`. */
  respondWithError (status: number, isNotExecuted: boolean): void
  /** Closes the connection without a response. */
  closeConnection (): void
}

/** Behaviour names, as the command line takes them. */
export const backendBehaviourNames =
  ['serve', 'reject', 'fail_fast', 'freeze', 'answer_late', 'cut_after_executing'] as const

export type BackendBehaviourName = typeof backendBehaviourNames[number]

/** Decides how each request is handled. */
export abstract class BackendBehaviour {
  /** Whether the server sends heartbeats. */
  get sendsHeartbeats (): boolean {
    return true
  }

  /** Handles one request whose body was read completely. */
  abstract handle (exchange: BackendExchange): Promise<void>
}

/** Executes and responds. */
export class ServeBehaviour extends BackendBehaviour {
  override async handle (exchange: BackendExchange): Promise<void> {
    await exchange.execute()
    exchange.respond()
  }
}

/** Rejects every request with 503 and the guarantee that it was not executed. */
export class RejectBehaviour extends BackendBehaviour {
  override async handle (exchange: BackendExchange): Promise<void> {
    exchange.respondWithError(503, true)
  }
}

/** Responds with 500 at once; nothing is executed, but the caller cannot tell. */
export class FailFastBehaviour extends BackendBehaviour {
  override async handle (exchange: BackendExchange): Promise<void> {
    exchange.respondWithError(500, false)
  }
}

/** Accepts connections and requests but never responds and sends no heartbeats, like a frozen VM. */
export class FreezeBehaviour extends BackendBehaviour {
  override get sendsHeartbeats (): boolean {
    return false
  }

  override async handle (): Promise<void> {}
}

/** Executes, then delays the response by `delayMs`. */
export class RespondLateBehaviour extends BackendBehaviour {
  readonly #delayMs: number

  constructor (delayMs: number) {
    super()
    this.#delayMs = delayMs
  }

  override async handle (exchange: BackendExchange): Promise<void> {
    await exchange.execute()
    await pause(this.#delayMs)
    exchange.respond()
  }
}

/** Executes, then closes the connection: the request was executed, but the caller cannot tell. */
export class CutAfterExecutingBehaviour extends BackendBehaviour {
  override async handle (exchange: BackendExchange): Promise<void> {
    await exchange.execute()
    exchange.closeConnection()
  }
}

/**
 * Creates the behaviour with the given name; `responseDelayMs` applies to `answer_late` only.
 *
 * @example
 * createBackendBehaviour('answer_late', 500)
 */
export function createBackendBehaviour (name: BackendBehaviourName, responseDelayMs = 1_000): BackendBehaviour {
  switch (name) {
    case 'serve': return new ServeBehaviour()
    case 'reject': return new RejectBehaviour()
    case 'fail_fast': return new FailFastBehaviour()
    case 'freeze': return new FreezeBehaviour()
    case 'answer_late': return new RespondLateBehaviour(responseDelayMs)
    case 'cut_after_executing': return new CutAfterExecutingBehaviour()
  }
}
