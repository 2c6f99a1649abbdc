/** HTTP client of the stand-ins that fails over between the addresses of several entry nodes. */
import { Agent, request } from 'undici'
import { timeoutSignal } from '@comfreygrade/timers'

/** The response of an entry node, or why there was none. */
export type EntryResponse =
  | { readonly kind: 'answered', readonly status: number, readonly body: unknown }
  | { readonly kind: 'unreachable', readonly detail: string }

/** Methods that stand-ins use; both are idempotent, so they can be repeated at another entry node. */
export type EntryMethod = 'PUT' | 'DELETE'

/**
 * Sends heartbeats and deregistrations to entry nodes.
 *
 * @example
 * const client = new EntryClient(['http://127.0.0.1:8080'], 1_000)
 * await client.send('PUT', '/v1/workers/w1', { incarnation: 1, sequence: 1, address, tasks: [] })
 */
export class EntryClient {
  readonly #addresses: readonly string[]
  readonly #timeoutMs: number
  readonly #agent: Agent
  #preferredIndex = 0

  constructor (addresses: readonly string[], timeoutMs: number) {
    this.#addresses = addresses
    this.#timeoutMs = timeoutMs
    this.#agent = new Agent({ connect: { timeout: timeoutMs } })
  }

  /** Tries each address once, starting with the last one that responded, until one responds with a status below 500. */
  async send (method: EntryMethod, path: string, body?: unknown): Promise<EntryResponse> {
    let response: EntryResponse = { kind: 'unreachable', detail: 'no entry address is configured' }
    for (let attempts = 0; attempts < this.#addresses.length; attempts++) {
      const address = this.#addresses[this.#preferredIndex] ?? ''
      response = await this.#sendTo(address, method, path, body)
      if (response.kind === 'answered' && response.status < 500) return response
      this.#preferredIndex = (this.#preferredIndex + 1) % this.#addresses.length
    }
    return response
  }

  /** Closes the connections; requests in progress end as `unreachable`. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #sendTo (address: string, method: EntryMethod, path: string, body: unknown): Promise<EntryResponse> {
    try {
      const response = await request(address + path, {
        method,
        dispatcher: this.#agent,
        signal: timeoutSignal(this.#timeoutMs),
        ...(body === undefined ? {} : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
      })
      return { kind: 'answered', status: response.statusCode, body: parseJson(await response.body.text()) }
    } catch (error) {
      return { kind: 'unreachable', detail: `${address}: ${String(error)}` }
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
