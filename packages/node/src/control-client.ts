/** Executes operations on the control leader for the callers, workers and operators of this node. */
import { randomUUID } from 'node:crypto'
import { fail, type Clock, type Metrics } from '@comfreygrade/core'
import type { ControlOperation, ControlResult } from '@comfreygrade/control'
import { pause, startTimer } from '@comfreygrade/timers'
import type { PeerMessage } from './peer-messages.js'

/** Options of {@link ControlClient}. */
export interface ControlClientOptions {
  readonly nodeId: string
  readonly timeoutMs: number
  /**
   * Timeout of a single attempt. Requests and responses use separate links, so a response can get lost on a dead link
   * although the link of the request is up.
   */
  readonly attemptTimeoutMs: number
  readonly clock: Clock
  readonly metrics: Metrics
  /** The leader known to this node. */
  readonly leaderNodeId: () => string | null
  readonly send: (nodeId: string, message: PeerMessage) => boolean
  /** Executes an operation on this node, for when it is the leader. */
  readonly executeLocally: (operation: ControlOperation) => Promise<ControlResult>
}

interface PendingRequest {
  readonly nodeId: string
  readonly finish: (outcome: AttemptOutcome) => void
}

/** Outcome of one attempt: `answered` if it got the result of the operation from the leader. */
type AttemptOutcome =
  | { readonly kind: 'answered', readonly result: ControlResult }
  /** The operation definitely did not take effect. */
  | { readonly kind: 'not_applied', readonly detail: string }
  | { readonly kind: 'unknown', readonly detail: string }

/** Delay before the next attempt. */
const RETRY_DELAY_MS = 100

/** Sends operations to the control leader with retries, and reports when the outcome of an operation is unknown. */
export class ControlClient {
  readonly #options: ControlClientOptions
  readonly #pendingRequests = new Map<string, PendingRequest>()

  constructor (options: ControlClientOptions) {
    this.#options = options
  }

  /**
   * Executes an operation on the leader, with retries as long as the next one can start before the timeout. Retries
   * are safe because every operation is idempotent: jobs have IDs, changes have versions, and a claim names its
   * claimant.
   */
  async execute (operation: ControlOperation, timeoutMs = this.#options.timeoutMs): Promise<ControlResult> {
    const deadlineAtMs = this.#options.clock.monotonicMs() + timeoutMs
    let unknownDetail: string | undefined
    for (;;) {
      const outcome = await this.#attempt(operation, deadlineAtMs)
      if (outcome.kind === 'answered') return outcome.result
      if (outcome.kind === 'unknown') unknownDetail = outcome.detail
      const remainingMs = deadlineAtMs - this.#options.clock.monotonicMs()
      if (remainingMs <= RETRY_DELAY_MS) return createTimeoutFailure(outcome.detail, unknownDetail)
      // `leader_silent`: the outcome is unknown, also when the leader lost its role or the link to it broke.
      // `leader_unknown`: not applied, also when the link was down before or the node asked does not lead.
      this.#options.metrics.increment('retry', { reason: outcome.kind === 'unknown' ? 'leader_silent' : 'leader_unknown' })
      await pause(RETRY_DELAY_MS)
    }
  }

  /** Handles a response of the leader. */
  receive (message: Extract<PeerMessage, { kind: 'control_response' }>): void {
    this.#pendingRequests.get(message.requestId)?.finish(classifyResult(message.result))
  }

  /** Ends the attempts that wait for a response of a node whose link is down. */
  onDisconnect (nodeId: string): void {
    for (const pending of this.#pendingRequests.values()) {
      if (pending.nodeId === nodeId) pending.finish({ kind: 'unknown', detail: `the link to ${nodeId} was lost` })
    }
  }

  async #attempt (operation: ControlOperation, deadlineAtMs: number): Promise<AttemptOutcome> {
    const { nodeId, leaderNodeId, executeLocally } = this.#options
    const leader = leaderNodeId()
    if (leader === null) return { kind: 'not_applied', detail: 'no control leader is known' }
    const remainingMs = Math.min(deadlineAtMs - this.#options.clock.monotonicMs(), this.#options.attemptTimeoutMs)
    if (leader === nodeId) return await withTimeout(executeLocally(operation), remainingMs)
    return await this.#requestPeer(leader, operation, remainingMs)
  }

  async #requestPeer (nodeId: string, operation: ControlOperation, timeoutMs: number): Promise<AttemptOutcome> {
    const requestId = randomUUID()
    return await new Promise<AttemptOutcome>(resolve => {
      const timer = startTimer(timeoutMs, () => { finish({ kind: 'unknown', detail: 'no response within the timeout' }) })
      const finish = (outcome: AttemptOutcome): void => {
        clearTimeout(timer)
        this.#pendingRequests.delete(requestId)
        resolve(outcome)
      }
      this.#pendingRequests.set(requestId, { nodeId, finish })
      if (!this.#options.send(nodeId, { kind: 'control_request', requestId, operation })) {
        finish({ kind: 'not_applied', detail: `the link to control leader ${nodeId} is down` })
      }
    })
  }
}

/** A node that does not lead has not applied the operation; for a leader that lost its role the outcome is unknown. */
function classifyResult (result: ControlResult): AttemptOutcome {
  if (result.ok) return { kind: 'answered', result }
  const { kind, detail } = result.failure
  if (kind === 'not_leader' || kind === 'control_unavailable') return { kind: 'not_applied', detail }
  if (kind === 'outcome_unknown') return { kind: 'unknown', detail }
  return { kind: 'answered', result }
}

/** One attempt with an unknown outcome makes the outcome of the operation unknown, even if later attempts failed. */
function createTimeoutFailure (detail: string, unknownDetail: string | undefined): ControlResult {
  return unknownDetail === undefined ? fail('control_unavailable', detail) : fail('outcome_unknown', unknownDetail)
}

async function withTimeout (result: Promise<ControlResult>, timeoutMs: number): Promise<AttemptOutcome> {
  return await new Promise<AttemptOutcome>(resolve => {
    const timer = startTimer(timeoutMs, () => { resolve({ kind: 'unknown', detail: 'no response within the timeout' }) })
    result.then(controlResult => {
      clearTimeout(timer)
      resolve(classifyResult(controlResult))
    })
  })
}
