/** Decides what happens to each short request of one entry VM. */
import { failure, type RequestSpec } from '@comfreygrade/core'
import type { RoutingEffect, RoutingEvent } from './events.js'
import type { BackendRegistry } from './registry.js'

interface OpenRequest { request: RequestSpec, attempt: number }

/** Routes short requests to backend servers; deterministic, driven by events. */
export class RequestRouter {
  readonly #registry: BackendRegistry
  readonly #open = new Map<string, OpenRequest>()
  #nextServer = 0

  constructor (registry: BackendRegistry) {
    this.#registry = registry
  }

  /** Number of requests without an answer yet. */
  get openRequests (): number {
    return this.#open.size
  }

  /** When the next `tick` is due, in monotonic milliseconds; undefined when nothing waits for time to pass. */
  nextWakeAtMs (): number | undefined {
    return undefined
  }

  /** Handles one event and returns what the front end has to do, in order. */
  handle (event: RoutingEvent, nowMs: number): RoutingEffect[] {
    switch (event.kind) {
      case 'arrived': return this.#arrived(event.request, nowMs)
      case 'answered': return this.#answered(event.requestId, event.attempt)
      case 'attempt_failed': return this.#failed(event.requestId)
      default: return []
    }
  }

  #arrived (request: RequestSpec, nowMs: number): RoutingEffect[] {
    const servers = this.#registry.active(request.service, nowMs)
    const backendServer = servers[this.#nextServer++ % servers.length]
    if (backendServer === undefined) {
      const detail = `no backend server of service ${request.service} is active`
      return [{ kind: 'refuse', requestId: request.requestId, failure: failure('no_backend_server', detail) }]
    }
    this.#open.set(request.requestId, { request, attempt: 1 })
    return [{ kind: 'dispatch', request, attempt: 1, backendServer, timeoutAtMs: request.deadlineAtMs }]
  }

  #answered (requestId: string, attempt: number): RoutingEffect[] {
    if (!this.#open.delete(requestId)) return []
    return [{ kind: 'answer', requestId, attempt }]
  }

  #failed (requestId: string): RoutingEffect[] {
    if (!this.#open.delete(requestId)) return []
    const detail = 'the connection to the backend server was lost after the request may have been sent'
    return [{ kind: 'refuse', requestId, failure: failure('outcome_unknown', detail) }]
  }
}
