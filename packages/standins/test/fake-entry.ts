/** A fake entry node that records requests and accepts every heartbeat. */
import { LoopbackServer, readBody, sendJson } from '../src/index.js'

export interface ReceivedRequest { method: string, path: string, body: Record<string, unknown> }

export class FakeEntryNode {
  readonly requests: ReceivedRequest[] = []
  leaseMs = 300
  readonly #server = new LoopbackServer(async (request, response) => {
    const text = (await readBody(request)).toString('utf8')
    const path = request.url ?? ''
    this.requests.push({ method: request.method ?? '', path, body: text === '' ? {} : JSON.parse(text) })
    if (path.startsWith('/v1/workers')) sendJson(response, 200, { term: 1, leaseMs: this.leaseMs, stopTasks: [] })
    else sendJson(response, 200, { heartbeatIntervalMs: 20, expireAfterMs: 100 })
  })

  get address (): string {
    return this.#server.address
  }

  async start (): Promise<void> {
    await this.#server.listen(0)
  }

  async stop (): Promise<void> {
    await this.#server.destroy()
  }

  count (method: string): number {
    return this.requests.filter(request => request.method === method).length
  }
}

/** Polls until a condition holds; the timeout of the test ends a wait that would never end. */
export async function pollUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5))
}
