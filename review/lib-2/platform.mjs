/** Stand-in for the platform's machine service: `POST /api/machine-upkeep`, as PROTOCOL.md describes it. */
import { createServer } from 'node:http'

export class Platform {
  /** `runners` by machine; `upkeepMs` is how long a machine is down; `onEvent(kind, fields)` is told of each call. */
  constructor ({ host, port = 8524, upkeepMs = 2000, fencing = true, onEvent = () => {} }) {
    Object.assign(this, { host, port, upkeepMs, fencing, onEvent })
    this.machines = new Map()
    this.waves = new Map()
    /** Decides how a call is answered: `undefined` as usual, or a function of request and response. */
    this.disturb = undefined
  }

  add (machine, runner) {
    this.machines.set(machine, { runner, state: 'up', fence: 0, done: new Set() })
  }

  async start () {
    this.server = createServer((request, response) => {
      const chunks = []
      request.on('error', () => {})
      response.on('error', () => {})
      const early = this.disturb?.('headers', request, response)
      if (early === true) return
      request.on('data', chunk => { chunks.push(chunk) })
      request.on('end', () => { this.#handle(request, response, Buffer.concat(chunks).toString('utf8')) })
    })
    await new Promise(resolve => { this.server.listen(this.port, this.host, resolve) })
  }

  stop () {
    this.server?.close()
    this.server?.closeAllConnections()
  }

  #handle (request, response, text) {
    if (this.disturb?.('body', request, response) === true) return
    const result = this.#upkeep(request, JSON.parse(text))
    if (this.disturb?.('answer', request, response) === true) return
    response.writeHead(result.status, { 'content-type': 'application/json' })
    response.end(JSON.stringify(result.body ?? {}))
  }

  #upkeep ({ headers }, { machine, wave }) {
    const holder = headers['x-comfreygrade-lease-holder']
    const fence = Number(headers['x-comfreygrade-fencing-token'])
    const entry = this.machines.get(machine)
    const answer = (status, reason) => {
      this.onEvent('call', { machine, wave, holder, fence, status, reason })
      return { status, body: reason === undefined ? {} : { reason } }
    }
    if (entry === undefined) return answer(400)
    if (!this.waves.get(wave)?.machines.includes(machine)) return answer(409, 'wave')
    if (this.fencing && fence < entry.fence) return answer(409, 'fence')
    entry.fence = Math.max(entry.fence, fence)
    if (entry.done.has(wave)) return answer(200)
    if (entry.state !== 'up' || entry.runner.state === 'draining') return answer(409, 'busy')
    entry.done.add(wave)
    entry.state = 'upkeep'
    const { runner } = entry
    const units = [...runner.running.keys()]
    const down = [...this.machines].filter(([name, { state, done }]) =>
      name !== machine && state === 'upkeep' && done.has(wave)).length
    this.onEvent('begin', { machine, wave, holder, fence, down, units })
    runner.crash()
    setTimeout(() => {
      entry.state = 'up'
      runner.start()
      this.onEvent('back', { machine })
    }, this.upkeepMs)
    return answer(200)
  }
}
