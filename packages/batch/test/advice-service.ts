/** Stand-in for an advice service that takes time and handles the calls of one caller in turn. */
import type { Clock } from '@comfreygrade/core'
import type { AdvicePolicy, Ticket } from '../src/index.js'

/** A call that waits or is handled. */
interface ServiceCall {
  readonly stepKey: string
  readonly workerIds: readonly string[]
  readonly answer: (tickets: readonly Ticket[] | undefined) => void
}

interface GrantedTicket {
  readonly stepKey: string
  readonly workerId: string
  readonly expiresAtMs: number
}

/** From when the service counts the validity of its tickets. */
export type ValidityStart = 'taken_up' | 'answered'

/** Calls beyond this number are refused. */
const MAX_WAITING_CALLS = 32

/** Handles one call at a time; `advance` is called as time passes. */
export class AdviceService {
  readonly policy: AdvicePolicy
  /** Most calls that were waiting or handled at once. */
  mostCalls = 0
  callCount = 0
  /** Factor on the time that calls take; `Infinity` for a service that does not answer. */
  slowdown = 1
  isPermitted: (stepKey: string, workerId: string) => boolean = () => true
  readonly #clock: Clock
  readonly #validityStart: ValidityStart
  readonly #tickets = new Map<string, GrantedTicket>()
  readonly #calls: ServiceCall[] = []
  #takenUpAtMs = 0

  constructor (clock: Clock, policy: AdvicePolicy, validityStart: ValidityStart = 'taken_up') {
    this.#clock = clock
    this.policy = policy
    this.#validityStart = validityStart
  }

  /** Takes a call; the answer is undefined where it is refused. */
  receive (call: ServiceCall): void {
    this.callCount++
    if (this.#calls.length >= MAX_WAITING_CALLS) return call.answer(undefined)
    this.#calls.push(call)
    this.mostCalls = Math.max(this.mostCalls, this.#calls.length)
    if (this.#calls.length === 1) this.#takenUpAtMs = this.#clock.monotonicMs()
  }

  /** Answers the call that is due. */
  advance (): void {
    const [call] = this.#calls
    if (call === undefined) return
    const nowMs = this.#clock.monotonicMs()
    const durationMs = (this.policy.decideMs + this.policy.perWorkerMs * call.workerIds.length) * this.slowdown
    if (!(nowMs >= this.#takenUpAtMs + durationMs)) return
    const validFromMs = this.#validityStart === 'taken_up' ? this.#takenUpAtMs : nowMs
    this.#calls.shift()
    this.#takenUpAtMs = nowMs
    call.answer(call.workerIds.filter(workerId => this.isPermitted(call.stepKey, workerId))
      .map(workerId => this.#grant(call.stepKey, workerId, validFromMs + this.policy.ticketValidMs)))
  }

  /** Whether a worker takes a start with this ticket now. */
  isValid (ticket: string | undefined, stepKey: string, workerId: string): boolean {
    const granted = this.#tickets.get(ticket ?? '')
    return granted !== undefined && granted.stepKey === stepKey && granted.workerId === workerId &&
      this.#clock.monotonicMs() <= granted.expiresAtMs
  }

  #grant (stepKey: string, workerId: string, expiresAtMs: number): Ticket {
    const ticket = `ticket ${this.#tickets.size + 1}`
    this.#tickets.set(ticket, { stepKey, workerId, expiresAtMs })
    return { workerId, ticket }
  }
}
