/** Stand-in for the advice service of PROTOCOL.md: `POST /api/advise`, one call at a time for each calling machine. */
import { createServer } from 'node:http'

const MAX_WAITING = 32

export class Advice {
  /** `policy` as the manifest states it; `onEvent(kind, fields)` is told of each answer. */
  constructor ({ host, port = 8524, policy, onEvent = () => {} }) {
    Object.assign(this, { host, port, policy, onEvent })
    this.tickets = new Map()
    this.waiting = new Map()
  }

  async start () {
    this.server = createServer((request, response) => {
      const chunks = []
      request.on('error', () => {})
      response.on('error', () => {})
      request.on('data', chunk => { chunks.push(chunk) })
      request.on('end', () => { this.#enqueue(request.socket.remoteAddress, Buffer.concat(chunks).toString('utf8'), response) })
    })
    await new Promise(resolve => { this.server.listen(this.port, this.host, resolve) })
  }

  stop () {
    this.server?.close()
    this.server?.closeAllConnections()
  }

  #enqueue (caller, text, response) {
    const queue = this.waiting.get(caller) ?? []
    this.waiting.set(caller, queue)
    if (queue.length >= MAX_WAITING) return response.writeHead(429).end('{}')
    queue.push({ ...JSON.parse(text), response, atMs: performance.now() })
    if (queue.length === 1) this.#next(queue)
  }

  #next (queue) {
    const { step, workers, response, atMs } = queue[0]
    const { decideMs, eachMs } = this.policy
    setTimeout(() => {
      const grantedAtMs = performance.now()
      const granted = workers.map(worker => [worker, this.#grant(step, worker, grantedAtMs)])
      this.onEvent('granted', { step, workers: workers.length, afterMs: Math.round(grantedAtMs - atMs) })
      response.writeHead(200, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ granted }))
      queue.shift()
      if (queue.length > 0) this.#next(queue)
    }, decideMs + eachMs * workers.length)
  }

  #grant (step, worker, grantedAtMs) {
    const ticket = `t-${this.tickets.size + 1}`
    this.tickets.set(ticket, { step, worker, untilMs: grantedAtMs + this.policy.validMs })
    return ticket
  }

  /** Whether a runner takes a start with this ticket now. */
  isValid (ticket, step, worker) {
    const entry = this.tickets.get(ticket)
    return entry !== undefined && entry.step === step && entry.worker === worker && performance.now() <= entry.untilMs
  }
}
