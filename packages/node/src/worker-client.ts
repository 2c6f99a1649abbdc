/** Sends orders of the control leader, such as to prepare, start or stop a task, to workers over HTTP. */
import { Agent, request } from 'undici'
import { z } from 'zod'
import { isProgramError } from '@comfreygrade/core'
import type { OrderResult, WorkerOrder } from '@comfreygrade/control'
import { timeoutSignal } from '@comfreygrade/timers'

/** With `stale_term` the worker refuses an order of an older leader term; `term` is the latest that it knows. */
const answerSchema = z.object({
  term: z.number(),
  results: z.array(z.enum(['accepted', 'refused', 'stale_term', 'unknown_lease']))
})

/** Sends orders; an order without an answer may or may not have reached the worker. */
export class WorkerClient {
  readonly #agent: Agent
  readonly #timeoutMs: number

  constructor (timeoutMs: number) {
    this.#timeoutMs = timeoutMs
    this.#agent = new Agent({ connect: { timeout: timeoutMs }, keepAliveTimeout: 4_000 })
  }

  /**
   * Sends orders to one worker.
   *
   * @returns one result per order, or undefined if no complete answer arrived within the timeout
   * @throws the error of the program because of which the orders could not be sent
   */
  async send (address: string, term: number, orders: readonly WorkerOrder[]): Promise<OrderResult[] | undefined> {
    try {
      const response = await request(`${address}/v1/orders`, {
        method: 'POST',
        dispatcher: this.#agent,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ term, orders }),
        signal: timeoutSignal(this.#timeoutMs)
      })
      const answer = answerSchema.parse(await response.body.json())
      return answer.results.length === orders.length ? answer.results : undefined
    } catch (error) {
      if (isProgramError(error)) throw error
      return undefined
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }
}
