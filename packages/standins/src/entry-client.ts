/** How stand-ins reach the system: one of several entry addresses, the next one where the last did not answer. */
import { Agent, request } from 'undici'

/** What an entry node answered, or that none did. */
export type EntryAnswer =
  | { readonly kind: 'answered', readonly status: number, readonly body: unknown }
  | { readonly kind: 'unreachable', readonly detail: string }

/** Methods that stand-ins use; both are safe to repeat at another entry node. */
export type EntryMethod = 'PUT' | 'DELETE'

/**
 * Sends announcements to entry nodes.
 *
 * @example
 * const client = new EntryClient(['http://127.0.0.1:8080'], 1_000)
 * await client.send('PUT', '/v1/workers/w1', { incarnation: 1, sequence: 1, address, tasks: [] })
 */
export class EntryClient {
  readonly #entries: readonly string[]
  readonly #timeoutMs: number
  readonly #agent: Agent
  #preferred = 0

  constructor (entries: readonly string[], timeoutMs: number) {
    this.#entries = entries
    this.#timeoutMs = timeoutMs
    this.#agent = new Agent({ connect: { timeout: timeoutMs } })
  }

  /** Tries each entry address once, from the one that answered last, until one answers below status 500. */
  async send (method: EntryMethod, path: string, body?: unknown): Promise<EntryAnswer> {
    let answer: EntryAnswer = { kind: 'unreachable', detail: 'no entry address is set' }
    for (let tries = 0; tries < this.#entries.length; tries++) {
      const entry = this.#entries[this.#preferred] ?? ''
      answer = await this.#sendTo(entry, method, path, body)
      if (answer.kind === 'answered' && answer.status < 500) return answer
      this.#preferred = (this.#preferred + 1) % this.#entries.length
    }
    return answer
  }

  /** Closes the connections; requests under way end as unreachable. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #sendTo (entry: string, method: EntryMethod, path: string, body: unknown): Promise<EntryAnswer> {
    try {
      const response = await request(entry + path, {
        method,
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(this.#timeoutMs),
        ...(body === undefined ? {} : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
      })
      return { kind: 'answered', status: response.statusCode, body: parseJson(await response.body.text()) }
    } catch (error) {
      return { kind: 'unreachable', detail: `${entry}: ${String(error)}` }
    }
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
