/** Stand-ins for the clients and the operator. */
import { call, parse } from './http.mjs'
import { nowMs, pause } from './time.mjs'

const CLIENT_DEADLINE_MS = 3_000
const OPERATOR_TIMEOUT_MS = 1_000

/** Sends the calls of a tenant; a call without a clear answer is sent again with the same ID, to the next node. */
export class Client {
  #calls = 0

  constructor (record, addresses, { host, apiKey }) {
    this.record = record
    this.addresses = addresses
    this.headers = { host, 'x-api-key': apiKey, 'x-comfreygrade-deadline-ms': String(CLIENT_DEADLINE_MS) }
  }

  async once (method, path, body) {
    const address = this.addresses[this.#calls++ % this.addresses.length]
    const text = body === undefined ? undefined : JSON.stringify(body)
    const response = await call(address, {
      method, path, headers: this.headers, body: text, timeoutMs: CLIENT_DEADLINE_MS
    })
    this.record.add('client call', {
      method, path, body: summary(text), status: response?.status ?? 'no answer', answer: summary(response?.text)
    })
    return response
  }

  /** Repeats a submission until it is accepted. */
  async submit (path, job, limitMs = 15_000) {
    const endMs = nowMs() + limitMs
    while (nowMs() < endMs) {
      const response = await this.once('POST', path, job)
      if (response !== undefined && response.status >= 200 && response.status < 300) return true
      await pause(200)
    }
    return false
  }

  /** The state of a job; undefined without a clear answer. */
  async state (path) {
    const response = await this.once('GET', path)
    return response?.status === 200 ? parse(response.text)?.state : undefined
  }
}

/** Calls the control nodes in turn until one answers. */
export class Operator {
  #calls = 0

  constructor (record, addresses) {
    this.record = record
    this.addresses = addresses
  }

  async once (method, path, body) {
    const address = this.addresses[this.#calls++ % this.addresses.length]
    const text = body === undefined ? undefined : JSON.stringify(body)
    const response = await call(address, { method, path, body: text, timeoutMs: OPERATOR_TIMEOUT_MS })
    this.record.add('operator call', {
      method, path, body: summary(text), status: response?.status ?? 'no answer', answer: summary(response?.text)
    })
    return response
  }

  /** Sends a change until it is acknowledged. */
  async change (method, path, body, limitMs = 15_000) {
    const endMs = nowMs() + limitMs
    while (nowMs() < endMs) {
      const response = await this.once(method, path, body)
      if (response?.status === 200) return true
      await pause(200)
    }
    return false
  }
}

function summary (text) {
  return text !== undefined && text.length > 400 ? `${text.slice(0, 400)}... (${text.length} characters)` : text
}
