/** Requests of operators to evacuate an availability zone, and their withdrawals. */
import type { Failure } from '@comfreygrade/core'
import type { Assignment } from './commands.js'
import type { OperationHandlerOptions, ProposalOutcome } from './operation-handler.js'
import type { BatchAnswer, BatchOperation } from './operations.js'

/** A request or a withdrawal. */
export type EvacuationOperation = Extract<BatchOperation, { kind: 'start_evacuation' | 'end_evacuation' }>

/** Options of {@link EvacuationRequests}. */
export interface EvacuationRequestsOptions extends Pick<
  OperationHandlerOptions, 'state' | 'registry' | 'settings' | 'clock' | 'metrics' | 'log' | 'propose'
> {
  readonly refuse: (requestId: string, failure: Failure) => void
  readonly answerProposal: (requestId: string, outcome: ProposalOutcome) => void
}

/**
 * Proposes each request to the log, also one that would change nothing: a withdrawal that is not committed yet may come
 * before it, and only the log decides which of the two is the later one.
 */
export class EvacuationRequests {
  readonly #options: EvacuationRequestsOptions
  readonly #termStartedAtMs: number

  constructor (options: EvacuationRequestsOptions) {
    this.#options = options
    this.#termStartedAtMs = options.clock.monotonicMs()
  }

  /** Answers a request once its command is committed. */
  handle (requestId: string, operation: EvacuationOperation): void {
    const { clock, propose, refuse, answerProposal } = this.#options
    const { kind, zone, requestedBy } = operation
    const refusal = this.#refusalOf(zone)
    if (refusal !== undefined) return refuse(requestId, refusal)
    propose({ kind, zone, requestedBy, requestedWallMs: clock.wallMs() }, outcome => {
      this.#record(operation, outcome)
      answerProposal(requestId, outcome)
    })
  }

  /** The latest evacuation of each zone. */
  list (): Extract<BatchAnswer, { kind: 'evacuations' }> {
    const { state, registry } = this.#options
    const evacuations = state.evacuations.records().map(record => ({
      ...record,
      workers: registry.viewsIn(record.zone).length,
      remainingRuns: record.endedWallMs === undefined ? this.#runsIn(record.zone) : []
    }))
    return { kind: 'evacuations', evacuations }
  }

  #runsIn (zone: string): Assignment[] {
    const { state, registry } = this.#options
    return registry.viewsIn(zone).flatMap(({ latest }) => [...state.runsOf(latest.workerId)])
  }

  #record (operation: EvacuationOperation, outcome: ProposalOutcome): void {
    if (outcome.kind !== 'applied' || outcome.result.kind !== 'applied') return
    const { registry, metrics, log } = this.#options
    const { zone, requestedBy } = operation
    const workers = registry.viewsIn(zone).length
    const runs = this.#runsIn(zone).length
    const isStart = operation.kind === 'start_evacuation'
    metrics.increment(isStart ? 'evacuation.started' : 'evacuation.ended')
    log.info(isStart ? 'evacuation started' : 'evacuation ended', { zone, requestedBy, workers, runs })
  }

  #refusalOf (zone: string): Failure | undefined {
    const { state, registry, settings } = this.#options
    const zones = settings.regionByAvailabilityZone
    const isKnown = Object.hasOwn(zones, zone) || state.evacuations.latestOf(zone) !== undefined ||
      registry.viewsIn(zone).length > 0
    if (isKnown) return undefined
    // Without zones in the settings, a new leader knows a zone only once a worker in it has reported.
    if (Object.keys(zones).length === 0 && !this.#isFleetKnown()) {
      return { kind: 'control_unavailable', detail: 'not all workers have reported to the new control leader yet' }
    }
    return { kind: 'unknown_zone', detail: 'neither the settings nor any worker names this availability zone' }
  }

  #isFleetKnown (): boolean {
    const { clock, settings } = this.#options
    return clock.monotonicMs() - this.#termStartedAtMs >= settings.fleetDiscoveryMs
  }
}
