/** Asks the control leader on behalf of callers, workers and operators. */
import { randomUUID } from 'node:crypto'
import { fail, type Clock, type Metrics } from '@comfreygrade/core'
import type { BatchOperation, BatchResult } from '@comfreygrade/batch'
import type { Ask, AskAnswer, BatchMessage } from './messages.js'

/** Options of {@link LeaderClient}. */
export interface LeaderClientOptions {
  readonly nodeId: string
  readonly clock: Clock
  readonly metrics: Metrics
  /** Control nodes to try, the best first. */
  readonly candidates: () => readonly string[]
  readonly send: (nodeId: string, message: BatchMessage) => boolean
  readonly askLocal: (ask: Ask) => Promise<AskAnswer>
  readonly leaderHinted: (nodeId: string) => void
}

/** Pause between two rounds over the control nodes while none leads. */
const RETRY_PAUSE_MS = 60
/** An attempt is given up after this time: the longest commit beside a slow disk. */
const ATTEMPT_TIMEOUT_MS = 1_000

type Reply =
  | { readonly kind: 'answered', readonly answer: AskAnswer }
  /** It was certainly not taken. */
  | { readonly kind: 'not_taken' }
  | { readonly kind: 'unknown' }

interface PendingAsk {
  readonly nodeId: string
  readonly finish: (reply: Reply) => void
}

/** Sends asks over the links and repeats them where they are idempotent. */
export class LeaderClient {
  readonly #options: LeaderClientOptions
  readonly #pending = new Map<string, PendingAsk>()

  constructor (options: LeaderClientOptions) {
    this.#options = options
  }

  /** Takes an answer from a link. */
  receive ({ requestId, answer }: Extract<BatchMessage, { kind: 'answer' }>): void {
    this.#pending.get(requestId)?.finish({ kind: 'answered', answer })
  }

  /** Ends what waits on a link that is gone. */
  disconnected (nodeId: string): void {
    for (const pending of [...this.#pending.values()]) {
      if (pending.nodeId === nodeId) pending.finish({ kind: 'unknown' })
    }
  }

  /**
   * Asks until there is an answer or the time is over. All operations are idempotent, so an attempt whose outcome is
   * not known is repeated; it makes the outcome unknown only where no later attempt is answered.
   */
  async operate (operation: BatchOperation, timeoutMs: number): Promise<BatchResult> {
    const deadlineMs = this.#nowMs + timeoutMs
    let mayHaveCounted = false
    while (this.#nowMs < deadlineMs) {
      for (const nodeId of this.#options.candidates()) {
        const reply = await this.#attempt(nodeId, { kind: 'operation', operation }, deadlineMs - this.#nowMs)
        const result = this.#resultOf(reply)
        if (result !== undefined && (result.ok || result.failure.kind !== 'outcome_unknown')) return result
        if (reply.kind === 'unknown' || result !== undefined) mayHaveCounted = true
        if (this.#nowMs >= deadlineMs) break
      }
      await this.#pause(Math.min(RETRY_PAUSE_MS, deadlineMs - this.#nowMs))
    }
    return mayHaveCounted
      ? fail('outcome_unknown', 'no control leader answered in time; an attempt may have been taken')
      : fail('control_unavailable', 'no control leader could be reached')
  }

  /** Asks once at each candidate until one that leads answers. */
  async askOnce (ask: Ask, timeoutMs: number): Promise<AskAnswer | undefined> {
    const deadlineMs = this.#nowMs + timeoutMs
    for (const nodeId of this.#options.candidates()) {
      const reply = await this.#attempt(nodeId, ask, deadlineMs - this.#nowMs)
      if (reply.kind === 'answered' && reply.answer.kind !== 'not_leader') return reply.answer
      if (reply.kind === 'unknown' || this.#nowMs >= deadlineMs) return undefined
    }
    return undefined
  }

  #resultOf (reply: Reply): BatchResult | undefined {
    return reply.kind === 'answered' && reply.answer.kind === 'result' ? reply.answer.result : undefined
  }

  async #attempt (nodeId: string, ask: Ask, remainingMs: number): Promise<Reply> {
    const timeoutMs = Math.max(1, Math.min(remainingMs, ATTEMPT_TIMEOUT_MS))
    const reply = nodeId === this.#options.nodeId
      ? await withTimeout(this.#options.askLocal(ask), timeoutMs)
      : await this.#askPeer(nodeId, ask, timeoutMs)
    if (reply.kind !== 'answered' || reply.answer.kind !== 'not_leader') return reply
    if (reply.answer.leaderNodeId !== null) this.#options.leaderHinted(reply.answer.leaderNodeId)
    return { kind: 'not_taken' }
  }

  async #askPeer (nodeId: string, ask: Ask, timeoutMs: number): Promise<Reply> {
    const requestId = randomUUID()
    return await new Promise<Reply>(resolve => {
      const timer = setTimeout(() => { finish({ kind: 'unknown' }) }, timeoutMs)
      const finish = (reply: Reply): void => {
        clearTimeout(timer)
        this.#pending.delete(requestId)
        if (reply.kind === 'unknown') this.#options.metrics.increment('retry', { reason: 'leader_silent' })
        resolve(reply)
      }
      this.#pending.set(requestId, { nodeId, finish })
      if (!this.#options.send(nodeId, { kind: 'ask', requestId, ask })) finish({ kind: 'not_taken' })
    })
  }

  async #pause (durationMs: number): Promise<void> {
    await new Promise<void>(resolve => { setTimeout(resolve, Math.max(1, durationMs)) })
  }

  get #nowMs (): number {
    return this.#options.clock.monotonicMs()
  }
}

async function withTimeout (answer: Promise<AskAnswer>, timeoutMs: number): Promise<Reply> {
  return await new Promise<Reply>(resolve => {
    const timer = setTimeout(() => { resolve({ kind: 'unknown' }) }, timeoutMs)
    answer.then(value => {
      clearTimeout(timer)
      resolve({ kind: 'answered', answer: value })
    })
  })
}
