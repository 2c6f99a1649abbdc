/** What clients and the operator ask for in the protocol simulation. */
import type { BatchOperation, JobSpec, LeaderEvent } from '@comfreygrade/batch'
import type { ProtocolDraws } from './protocol-draws.js'
import { API_KEY, createDocument, NORMAL_PATH, URGENT_PATH } from './protocol-jobs.js'
import type { ProtocolNode } from './protocol-node.js'
import type { ProtocolProfile } from './protocol-profile.js'
import type { RequestRoutes, RoutedRequest } from './protocol-routes.js'
import type { ProtocolSchedule } from './protocol-schedule.js'

/** Options of {@link ProtocolOperator}. */
export interface ProtocolOperatorOptions {
  readonly profile: ProtocolProfile
  readonly random: ProtocolDraws
  readonly schedule: ProtocolSchedule
  readonly routes: RequestRoutes
  readonly leader: () => ProtocolNode
}

const OPERATOR_RETRY_MS = 1_000
const MAX_ATTEMPTS_OF_OPERATOR = 60

/** Sends operations, and repeats those that must take effect. */
export class ProtocolOperator {
  readonly #options: ProtocolOperatorOptions
  #waveCount = 0
  #version = 1

  constructor (options: ProtocolOperatorOptions) {
    this.#options = options
  }

  cancelJob (): void {
    const openJobs = [...this.#options.leader().state.openJobs()]
    if (openJobs.length === 0) return
    const { spec, queueAddress } = this.#options.random.pick(openJobs)
    const path = `${queueAddress.endsWith(URGENT_PATH) ? URGENT_PATH : NORMAL_PATH}${spec.jobId}`
    this.#execute({ kind: 'cancel', request: { host: 'h', path } })
  }

  evacuate (zone: string): void {
    this.#executeUntilAccepted({ kind: 'start_evacuation', zone, requestedBy: 'operator' }, 3)
    this.#options.schedule.after(this.#options.random.nextInt(500, 6_000), () => {
      this.#executeUntilAccepted({ kind: 'end_evacuation', zone, requestedBy: 'operator' })
    })
  }

  /** A request for an evacuation may have arrived after the one for its end. */
  endEvacuations (): void {
    if (this.#options.profile.zones.length === 1) return
    for (const zone of this.#options.profile.zones) {
      this.#executeUntilAccepted({ kind: 'end_evacuation', zone, requestedBy: 'operator' })
    }
  }

  startWave (candidates: readonly string[]): void {
    const vmIds = [...new Set(candidates)]
    const durationMs = this.#options.random.nextInt(1_000, 15_000)
    const wave = { waveId: `wave-${++this.#waveCount}`, vmIds, maxConcurrent: 1, durationMs }
    this.#executeUntilAccepted({ kind: 'start_wave', wave })
  }

  #execute (operation: BatchOperation, reply: RoutedRequest['reply'] = () => {}): void {
    const createEvent = (requestId: string): LeaderEvent => ({ kind: 'operation', requestId, operation })
    this.#options.routes.send({ createEvent, onAnswered: () => {}, reply })
  }

  /** An operator repeats what is not accepted. */
  #executeUntilAccepted (operation: BatchOperation, attempts = MAX_ATTEMPTS_OF_OPERATOR): void {
    let isAnswered = false
    const retry = (): void => {
      if (!isAnswered && attempts > 1) this.#executeUntilAccepted(operation, attempts - 1)
      isAnswered = true
    }
    this.#options.schedule.after(OPERATOR_RETRY_MS, retry)
    this.#execute(operation, answer => {
      if (typeof answer === 'object' && 'ok' in answer && answer.ok) isAnswered = true
    })
  }

  replaceConfiguration (hasQueue: boolean): void {
    const document = createDocument(++this.#version, hasQueue)
    this.#execute({ kind: 'put_configuration', document })
  }

  submit ({ jobId, ...spec }: JobSpec, pathPrefix: string): void {
    const key = pathPrefix === URGENT_PATH ? { apiKey: API_KEY } : {}
    this.#execute({ kind: 'submit', request: { host: 'h', path: `${pathPrefix}${jobId}`, ...key }, spec })
  }
}
