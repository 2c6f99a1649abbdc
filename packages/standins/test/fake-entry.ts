/** A fake entry node that records announcements and answers as the design page says. */
import { LoopbackServer, readBody, sendJson } from '../src/index.js'

export interface Announcement { method: string, path: string, body: Record<string, unknown> }

export class FakeEntry {
  readonly announcements: Announcement[] = []
  leaseMs = 300
  readonly #server = new LoopbackServer(async (request, response) => {
    const text = (await readBody(request)).toString('utf8')
    const path = request.url ?? ''
    this.announcements.push({ method: request.method ?? '', path, body: text === '' ? {} : JSON.parse(text) })
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
    return this.announcements.filter(announcement => announcement.method === method).length
  }
}

/** Waits until a condition holds; the test's own limit ends a wait that never does. */
export async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5))
}
