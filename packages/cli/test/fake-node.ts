/** A fake node: responds by method and path, records calls, and can drop responses. */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { errorBody, errorTable, type Failure } from '@comfreygrade/core'
import { type ExitReason, runCommandLine } from '../src/index.js'

export interface RecordedCall { route: string, headers: IncomingMessage['headers'], text: string }

export interface FakeResponse { status: number, body: unknown, headers?: Record<string, string> }

export function errorResponse (failure: Failure): FakeResponse {
  return { status: errorTable[failure.kind].httpStatus, body: errorBody(failure) }
}

export class FakeNode {
  readonly calls: RecordedCall[] = []
  /** Functions that give the response, by `METHOD path`; other calls are refused with `not_found`. */
  readonly responseHandlers = new Map<string, (call: RecordedCall) => FakeResponse>()
  /** Number of next calls that are executed but whose connection is closed before the response. */
  responsesToDrop = 0
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

  respondWith (route: string, body: unknown, status = 200, headers?: Record<string, string>): this {
    this.responseHandlers.set(route, () => ({ status, body, headers }))
    return this
  }

  calledRoutes (): string[] {
    return this.calls.map(call => call.route)
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    let text = ''
    for await (const chunk of request) text += String(chunk)
    const call = { route: `${request.method} ${request.url}`, headers: request.headers, text }
    this.calls.push(call)
    const fakeResponse = this.responseHandlers.get(call.route)?.(call) ?? errorResponse({ kind: 'not_found', detail: call.route })
    if (this.responsesToDrop-- > 0) {
      request.socket.destroy()
      return
    }
    response.writeHead(fakeResponse.status, { 'content-type': 'application/json', ...fakeResponse.headers })
    response.end(typeof fakeResponse.body === 'string' ? fakeResponse.body : JSON.stringify(fakeResponse.body))
  }
}

export interface CommandResult { reason: ExitReason, stdout: string, stderr: string }

/** Runs a command line against nodes and captures its output. */
export async function runCommand (nodes: readonly string[], argv: readonly string[], stdin = ''): Promise<CommandResult> {
  let stdout = ''
  let stderr = ''
  const reason = await runCommandLine([...argv, ...nodes.flatMap(node => ['--node', node])], {
    readStdin: async () => Buffer.from(stdin),
    write: text => { stdout += String(text) },
    writeError: text => { stderr += text }
  })
  return { reason, stdout, stderr }
}
