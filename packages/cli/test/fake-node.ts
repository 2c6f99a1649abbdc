/** A fake node: answers by method and path, records calls, and can lose an answer. */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { errorBody, errorTable, type Failure } from '@comfreygrade/core'
import { type ExitReason, runCommandLine } from '../src/index.js'

export interface Call { route: string, headers: IncomingMessage['headers'], text: string }

export interface Reply { status: number, body: unknown, headers?: Record<string, string> }

export function refusal (failure: Failure): Reply {
  return { status: errorTable[failure.kind].httpStatus, body: errorBody(failure) }
}

export class FakeNode {
  readonly calls: Call[] = []
  /** Answers by `METHOD path`; a call without one is answered with `not_found`. */
  readonly replies = new Map<string, (call: Call) => Reply>()
  /** Calls that are carried out but whose connection is cut before the answer. */
  answersToLose = 0
  readonly #server = createServer((request, response) => { this.#handle(request, response).catch(() => {}) })

  get address (): string {
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  async start (): Promise<this> {
    this.#server.listen(0, '127.0.0.1')
    await once(this.#server, 'listening')
    return this
  }

  stop (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  on (route: string, body: unknown, status = 200, headers?: Record<string, string>): this {
    this.replies.set(route, () => ({ status, body, headers }))
    return this
  }

  routes (): string[] {
    return this.calls.map(call => call.route)
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    let text = ''
    for await (const chunk of request) text += String(chunk)
    const call = { route: `${request.method} ${request.url}`, headers: request.headers, text }
    this.calls.push(call)
    const reply = this.replies.get(call.route)?.(call) ?? refusal({ kind: 'not_found', detail: call.route })
    if (this.answersToLose-- > 0) {
      request.socket.destroy()
      return
    }
    response.writeHead(reply.status, { 'content-type': 'application/json', ...reply.headers })
    response.end(typeof reply.body === 'string' ? reply.body : JSON.stringify(reply.body))
  }
}

export interface Run { reason: ExitReason, out: string, problems: string }

/** Runs a command line against nodes and collects what it writes. */
export async function run (nodes: readonly string[], argv: readonly string[], stdin = ''): Promise<Run> {
  let out = ''
  let problems = ''
  const reason = await runCommandLine([...argv, ...nodes.flatMap(node => ['--node', node])], {
    readStdin: async () => Buffer.from(stdin),
    write: text => { out += String(text) },
    writeError: text => { problems += text }
  })
  return { reason, out, problems }
}
