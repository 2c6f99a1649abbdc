/** The path to one address, which a partition may hold up: what was sent meanwhile arrives once it has healed. */
import { connect, createServer } from 'node:net'

export class Proxy {
  constructor ({ host, port, target }) {
    Object.assign(this, { host, port, target })
    this.isCut = false
    this.waiting = []
  }

  get url () { return `http://${this.host}:${this.port}` }

  async start () {
    this.server = createServer({ allowHalfOpen: true }, near => {
      near.on('error', () => {})
      if (this.isCut) this.waiting.push(near)
      else this.#join(near)
    })
    await new Promise(resolve => { this.server.listen(this.port, this.host, resolve) })
  }

  /** Lets through what was held up. */
  heal () {
    this.isCut = false
    for (const near of this.waiting.splice(0)) this.#join(near)
  }

  stop () {
    this.server?.close()
  }

  #join (near) {
    const far = connect(this.target.port, this.target.host)
    far.on('error', () => { near.destroy() })
    near.pipe(far)
    far.pipe(near)
  }
}
