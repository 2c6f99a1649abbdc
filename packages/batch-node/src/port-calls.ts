/** Calls of the control leader to the advice service and to the VM interface. */
import type { LeaderEffect, LeaderEvent, MaintenanceAnswer } from '@comfreygrade/batch'
import { UNEXPECTED_ERROR, type Clock, type EventLog, type Metrics } from '@comfreygrade/core'
import type { AdvicePort, VmPort } from './ports.js'

type EffectOf<K extends LeaderEffect['kind']> = Extract<LeaderEffect, { kind: K }>

/** Options of {@link PortCalls}. */
export interface PortCallsOptions {
  /** Node ID of this process, which identifies it to the VM interface. */
  readonly nodeId: string
  readonly advice: AdvicePort
  readonly vms: VmPort
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: EventLog
  /** Whether this node leads in the given term and holds a quorum lease now. */
  readonly leadsInTerm: (term: number) => boolean
  /** Receives the answers. */
  readonly dispatch: (event: LeaderEvent) => void
}

/** Carries out the effects of the batch leader that leave the system, and returns the answers as events. */
export class PortCalls {
  readonly #options: PortCallsOptions
  /** Ends with the latest call to the advice service. */
  #adviceCalls: Promise<void> = Promise.resolve()
  /** Number of times that this node has ceased to lead. */
  #leadershipCount = 0

  constructor (options: PortCallsOptions) {
    this.#options = options
  }

  /**
   * Calls the VM interface. A process that was suspended may handle a timer before it notices that another node leads,
   * so the call is not made, or given up where it has not been sent yet, once this node may not lead any more. The
   * fencing token of a leader is its term.
   */
  async beginMaintenance ({ call, fencingToken }: EffectOf<'begin_maintenance'>): Promise<void> {
    const { vms, nodeId, leadsInTerm, dispatch } = this.#options
    const isPermitted = (): boolean => leadsInTerm(fencingToken)
    const answer = isPermitted()
      ? await vms.beginMaintenance(call, { holder: nodeId, fencingToken, isPermitted })
        .catch((error: unknown) => this.#handlePortError<MaintenanceAnswer>('vms', error, 'failed'))
      : 'failed'
    dispatch({ kind: 'maintenance_answered', call, answer })
  }

  /**
   * Requests tickets; tickets that no start order uses have no effect, so this call needs no permission. The service
   * handles the calls of one caller in turn, so a call waits for one of an earlier term of this node.
   */
  async requestTickets (effect: EffectOf<'ask_advice'>): Promise<void> {
    const leadership = this.#leadershipCount
    this.#adviceCalls = this.#adviceCalls.then(async () => { await this.#callAdvice(effect, leadership) })
    await this.#adviceCalls
  }

  /** Answers to requests for tickets that are open now are not passed on: a later leader has not asked for them. */
  endLeadership (): void {
    this.#leadershipCount++
  }

  async #callAdvice (
    { stepKey, workerIds, timeoutMs }: EffectOf<'ask_advice'>, leadership: number
  ): Promise<void> {
    const { advice, clock, dispatch } = this.#options
    if (leadership !== this.#leadershipCount) return
    const requestedAtMs = clock.monotonicMs()
    const event = await advice.requestTickets(stepKey, workerIds, timeoutMs).then(
      (tickets): LeaderEvent => ({ kind: 'advice', stepKey, tickets, requestedAtMs }),
      (error: unknown): LeaderEvent => {
        const tickets = this.#handlePortError('advice', error, undefined)
        return { kind: 'advice', stepKey, tickets, requestedAtMs, failedBy: 'program' }
      })
    if (leadership === this.#leadershipCount) dispatch(event)
  }

  /** The call could not be made, which is a fault of the program and not of the service; it is repeated. */
  #handlePortError<Answer> (port: 'advice' | 'vms', error: unknown, answer: Answer): Answer {
    this.#options.metrics.increment('port.failed', { port })
    this.#options.log.warn(`${UNEXPECTED_ERROR} of a port`, { port, detail: String(error) })
    return answer
  }
}
