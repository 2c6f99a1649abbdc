/** Asks the control leader on behalf of callers, workers and operators of this node. */
import { randomUUID } from 'node:crypto'
import { setTimeout as pause } from 'node:timers/promises'
import { fail, type Clock, type Metrics } from '@comfreygrade/core'
import type { ControlOperation, ControlResult } from '@comfreygrade/control'
import type { PeerMessage } from './peer-messages.js'

/** Options of {@link ControlClient}. */
export interface ControlClientOptions {
  readonly nodeId: string
  readonly timeoutMs: number
  /**
   * Time after which one attempt is given up. Requests and answers travel on two links, so the link of the answer may
   * be silent although the one of the request is new.
   */
  readonly attemptTimeoutMs: number
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

/** Finds the leader, asks it, and tells truthfully when the outcome of an operation is not known. */
export class ControlClient {
  readonly #options: ControlClientOptions
  readonly #pending = new Map<string, PendingAsk>()

  constructor (options: ControlClientOptions) {
    this.#options = options
  }

  /**
   * Asks the leader, and asks again within the timeout while no answer comes. Every operation may be repeated: jobs and
   * changes have numbers of their own, and a claim names its claimant.
   */
  async ask (operation: ControlOperation, timeoutMs = this.#options.timeoutMs): Promise<ControlResult> {
    const deadlineMs = this.#options.clock.monotonicMs() + timeoutMs
    let unknownDetail: string | undefined
    for (;;) {
      const reply = await this.#askOnce(operation, deadlineMs)
      if (reply.kind === 'answered') return reply.result
      if (reply.kind === 'unknown') unknownDetail = reply.detail
      const remainingMs = deadlineMs - this.#options.clock.monotonicMs()
      if (remainingMs <= LEADER_RETRY_MS) return giveUp(reply.detail, unknownDetail)
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
    const remainingMs = Math.min(deadlineMs - this.#options.clock.monotonicMs(), this.#options.attemptTimeoutMs)
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

/** One attempt that may have been taken makes the outcome unknown, whatever became of the later ones. */
function giveUp (detail: string, unknownDetail: string | undefined): ControlResult {
  return unknownDetail === undefined ? fail('control_unavailable', detail) : fail('outcome_unknown', unknownDetail)
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
