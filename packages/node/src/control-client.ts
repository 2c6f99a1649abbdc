/** Asks the control leader on behalf of callers, workers and operators of this node. */
import { randomUUID } from 'node:crypto'
import { fail, type Clock, type Metrics } from '@comfreygrade/core'
import type { ControlOperation, ControlResult } from '@comfreygrade/control'
import type { PeerMessage } from './peer-messages.js'

/** Options of {@link ControlClient}. */
export interface ControlClientOptions {
  readonly nodeId: string
  readonly timeoutMs: number
  readonly clock: Clock
  readonly metrics: Metrics
  /** Where the leader is believed to be. */
  readonly leaderNodeId: () => string | null
  readonly send: (nodeId: string, message: PeerMessage) => boolean
  /** Answers an operation on this node when it is the leader. */
  readonly askLocal: (operation: ControlOperation) => Promise<ControlResult>
}

interface PendingAsk {
  readonly nodeId: string
  readonly finish: (reply: Reply) => void
}

type Reply =
  | { readonly kind: 'answered', readonly result: ControlResult }
  /** The operation certainly did not take effect. */
  | { readonly kind: 'not_taken', readonly detail: string }
  | { readonly kind: 'unknown', readonly detail: string }

/** Pause before a leader is looked for again. */
const LEADER_RETRY_MS = 100

/** Operations whose repeat has no further effect, so that a lost answer may be asked for again. */
const repeatableKinds: ReadonlySet<ControlOperation['kind']> = new Set([
  'submit_job', 'cancel_job', 'get_job', 'list_jobs', 'explain_job', 'report_worker', 'leave_worker', 'apply_change',
  'get_configuration', 'get_configuration_status', 'get_fleet', 'drain', 'undrain', 'claim_request', 'settle_claim',
  'get_claim'
])

/** Finds the leader, asks it, and tells truthfully when the outcome of an operation is not known. */
export class ControlClient {
  readonly #options: ControlClientOptions
  readonly #pending = new Map<string, PendingAsk>()

  constructor (options: ControlClientOptions) {
    this.#options = options
  }

  /** Asks the leader; repeats within the timeout where that is safe. */
  async ask (operation: ControlOperation, timeoutMs = this.#options.timeoutMs): Promise<ControlResult> {
    const deadlineMs = this.#options.clock.monotonicMs() + timeoutMs
    for (;;) {
      const reply = await this.#askOnce(operation, deadlineMs)
      if (reply.kind === 'answered') return reply.result
      const isSafe = reply.kind !== 'unknown' || repeatableKinds.has(operation.kind)
      const remainingMs = deadlineMs - this.#options.clock.monotonicMs()
      if (!isSafe) return fail('outcome_unknown', `the control leader did not answer: ${reply.detail}`)
      if (remainingMs <= LEADER_RETRY_MS) return giveUp(reply)
      this.#options.metrics.increment('retry', { reason: reply.kind === 'unknown' ? 'leader_silent' : 'leader_unknown' })
      await pause(LEADER_RETRY_MS)
    }
  }

  /** Takes a leader's answer. */
  receive (message: Extract<PeerMessage, { kind: 'control_response' }>): void {
    this.#pending.get(message.requestId)?.finish(classify(message.result))
  }

  /** Ends everything that waits for a node whose link is gone. */
  disconnected (nodeId: string): void {
    for (const pending of this.#pending.values()) {
      if (pending.nodeId === nodeId) pending.finish({ kind: 'unknown', detail: `the link to ${nodeId} was lost` })
    }
  }

  async #askOnce (operation: ControlOperation, deadlineMs: number): Promise<Reply> {
    const { nodeId, leaderNodeId, askLocal } = this.#options
    const leader = leaderNodeId()
    if (leader === null) return { kind: 'not_taken', detail: 'no control leader is known' }
    const remainingMs = deadlineMs - this.#options.clock.monotonicMs()
    if (leader === nodeId) return await withTimeout(askLocal(operation), remainingMs)
    return await this.#askPeer(leader, operation, remainingMs)
  }

  async #askPeer (nodeId: string, operation: ControlOperation, timeoutMs: number): Promise<Reply> {
    const requestId = randomUUID()
    return await new Promise<Reply>(resolve => {
      const timer = setTimeout(() => { finish({ kind: 'unknown', detail: 'no answer in time' }) }, timeoutMs)
      const finish = (reply: Reply): void => {
        clearTimeout(timer)
        this.#pending.delete(requestId)
        resolve(reply)
      }
      this.#pending.set(requestId, { nodeId, finish })
      if (!this.#options.send(nodeId, { kind: 'control_request', requestId, operation })) {
        finish({ kind: 'not_taken', detail: `the link to control leader ${nodeId} is down` })
      }
    })
  }
}

/** A node that does not lead took nothing; a leader that lost its role cannot tell. */
function classify (result: ControlResult): Reply {
  if (result.ok) return { kind: 'answered', result }
  const { kind, detail } = result.failure
  if (kind === 'not_leader' || kind === 'control_unavailable') return { kind: 'not_taken', detail }
  if (kind === 'outcome_unknown') return { kind: 'unknown', detail }
  return { kind: 'answered', result }
}

function giveUp (reply: Exclude<Reply, { kind: 'answered' }>): ControlResult {
  return fail(reply.kind === 'unknown' ? 'outcome_unknown' : 'control_unavailable', reply.detail)
}

async function withTimeout (result: Promise<ControlResult>, timeoutMs: number): Promise<Reply> {
  return await new Promise<Reply>(resolve => {
    const timer = setTimeout(() => { resolve({ kind: 'unknown', detail: 'no answer in time' }) }, timeoutMs)
    result.then(value => {
      clearTimeout(timer)
      resolve(classify(value))
    })
  })
}

async function pause (durationMs: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, durationMs) })
}
