/** Requests of clients and operators to the processes. */
import { Agent, request as httpRequest } from 'node:http'
import { pause } from './deployment.mjs'

const REQUEST_TIMEOUT_MS = 3_000
const RETRY_PAUSE_MS = 100
const agent = new Agent({ keepAlive: true })

/** Sends a request; resolves to undefined where there is no whole answer in time. */
export async function send (
  address, method, path, { headers = {}, body, timeoutMs = REQUEST_TIMEOUT_MS, maxBytes = Infinity } = {}
) {
  const [host, port] = address.split(':')
  const content = body === undefined || typeof body === 'string' ? body : JSON.stringify(body)
  const length = content === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(content) }
  return await new Promise(resolve => {
    const outgoing = httpRequest({ host, port, method, path, agent, headers: { ...headers, ...length } }, response => {
      const chunks = []
      let bytes = 0
      response.on('data', chunk => {
        bytes += chunk.length
        if (bytes <= maxBytes) chunks.push(chunk)
      })
      response.on('end', () => {
        clearTimeout(timer)
        resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString('utf8'), bytes })
      })
      response.on('error', () => { resolve(undefined) })
    })
    const timer = setTimeout(() => {
      resolve(undefined)
      outgoing.destroy()
    }, timeoutMs)
    outgoing.on('error', () => {
      clearTimeout(timer)
      resolve(undefined)
    })
    outgoing.end(content)
  })
}

/** Sends a manifest until it is acknowledged, each time to the next node. */
export async function putManifest (addresses, manifest, { timeoutMs = 30_000 } = {}) {
  const endMs = performance.now() + timeoutMs
  for (let attempt = 0; performance.now() < endMs; attempt++) {
    const response = await send(addresses[attempt % addresses.length], 'PUT', '/api/config', { body: manifest })
    if (response?.status === 200) return
    await pause(RETRY_PAUSE_MS)
  }
  throw new Error('the manifest was not acknowledged')
}

/** A client of one tenant and route, which picks the entry nodes in turn. */
export class Client {
  #addresses
  #headers
  #count = 0

  constructor (addresses, { host, key }) {
    this.#addresses = addresses
    this.#headers = { host, 'x-api-key': key, 'x-comfreygrade-deadline-ms': '3000' }
  }

  async call (method, path, body) {
    const address = this.#addresses[this.#count++ % this.#addresses.length]
    return await send(address, method, path, { headers: this.#headers, body })
  }

  /** Submits a job as a client does: again with the same ID where there is no clear answer. Resolves to the status. */
  async submit (path, job, attempts = 4) {
    for (let attempt = 0; attempt < attempts; attempt++) {
      const response = await this.call('POST', path, job)
      if (response !== undefined && response.status !== 502 && response.status !== 504) return response.status
    }
    return undefined
  }

  /** The state of a job, the status where that is not 200, or undefined for no answer. */
  async state (path) {
    const response = await this.call('GET', path)
    if (response === undefined) return undefined
    return response.status === 200 ? JSON.parse(response.text).state : response.status
  }
}
