/** What the router knows about each backend server besides its record. */
import type { BackendServerRecord } from '@comfreygrade/core'
import { Ejection } from './ejection.js'
import { LearnedLimit } from './limits.js'
import { RemoteLoad, type LoadEntry } from './peer-load.js'
import type { BackendRegistry, KnownServer } from './registry.js'
import type { WorkClass } from './service-classes.js'
import type { RoutingSettings } from './settings.js'

/** Where an entry VM stands. */
export interface Location {
  readonly region: string
  readonly availabilityZone: string
}

/** Servers of one service by distance: same availability zone, same region, elsewhere. */
export type ServerTiers = ReadonlyArray<readonly ServerState[]>

/** Load, limit and health of one backend server as one entry VM sees them. */
export class ServerState {
  readonly known: KnownServer
  /** Whether the server stands in another region. */
  readonly isFar: boolean
  readonly ejection: Ejection
  readonly limit: LearnedLimit
  readonly remote: RemoteLoad
  readonly #registry: BackendRegistry
  readonly #settings: RoutingSettings
  #incarnation: number
  #inFlight = 0
  #longInFlight = 0

  constructor (known: KnownServer, registry: BackendRegistry, settings: RoutingSettings, location: Location) {
    this.isFar = known.record.region !== location.region
    this.known = known
    this.#registry = registry
    this.#settings = settings
    this.#incarnation = known.record.incarnation
    this.ejection = new Ejection(settings)
    this.limit = new LearnedLimit(settings, ceilingOf(known.record))
    this.remote = new RemoteLoad(settings)
  }

  get id (): string {
    return this.known.record.backendServerId
  }

  /** Requests of this entry VM in flight. */
  get inFlight (): number {
    return this.#inFlight
  }

  /** Whether the state belongs to an earlier start of the server and its record. */
  get isOutdated (): boolean {
    return this.#incarnation !== this.known.record.incarnation
  }

  /** Whether the server may receive new work at all. */
  isServing (nowMs: number): boolean {
    return this.#registry.isServing(this.known, nowMs)
  }

  /** Own requests, those of peers, and what recent failures count for. */
  load (nowMs: number): number {
    const requests = this.#inFlight + this.remote.inFlight(nowMs) + this.ejection.failureLoad(nowMs)
    return requests / this.limit.requests
  }

  /**
   * Whether one more request fits. Each entry VM may always use its own share of the limit, as counts of peers are
   * stale and would otherwise shut out a VM that others overtake.
   */
  hasRoom (workClass: WorkClass, entryVms: number, nowMs: number): boolean {
    const limit = Math.max(1, Math.floor(this.limit.requests * (this.isFar ? this.#settings.crossRegionMaxLoad : 1)))
    if (!fits(this.#inFlight, this.remote.inFlight(nowMs), limit, entryVms)) return false
    if (workClass === 'short') return true
    const longLimit = Math.max(1, limit - this.#settings.reservedShortSlots)
    return fits(this.#longInFlight, this.remote.longInFlight(nowMs), longLimit, entryVms)
  }

  /** Counts a dispatched request. */
  dispatched (workClass: WorkClass, nowMs: number): void {
    this.#inFlight++
    if (workClass === 'long') this.#longInFlight++
    this.ejection.dispatched(nowMs)
  }

  /** Counts the end of a request. */
  released (workClass: WorkClass): void {
    this.#inFlight--
    if (workClass === 'long') this.#longInFlight--
  }

  /** The entry for a load report. */
  loadEntry (): LoadEntry {
    return { backendServerId: this.id, inFlight: this.#inFlight, longInFlight: this.#longInFlight }
  }
}

/** States of all known backend servers, grouped by service and distance. */
export class ServerPool {
  readonly #registry: BackendRegistry
  readonly #settings: RoutingSettings
  readonly #location: Location
  readonly #servers = new Map<string, ServerState>()
  readonly #tiers = new Map<string, ServerTiers>()
  #membershipVersion = -1

  constructor (registry: BackendRegistry, settings: RoutingSettings, location: Location) {
    this.#registry = registry
    this.#settings = settings
    this.#location = location
  }

  /** Whether the registry changed since the tiers were built. */
  get isStale (): boolean {
    return this.#membershipVersion !== this.#registry.membershipVersion
  }

  /** Rebuilds the groups after a change of the registry. */
  refresh (): void {
    this.#membershipVersion = this.#registry.membershipVersion
    this.#tiers.clear()
    for (const [id, server] of this.#servers) {
      if (!this.#registry.has(id) && server.inFlight === 0) this.#servers.delete(id)
    }
  }

  /** Servers of a service as of the last `refresh`; empty where no server ever announced it. */
  tiers (service: string): ServerTiers {
    const built = this.#tiers.get(service)
    if (built !== undefined) return built
    const known = this.#registry.known(service)
    if (known.length === 0) return []
    const tiers = this.#group(known.map(each => this.#state(each)))
    this.#tiers.set(service, tiers)
    return tiers
  }

  /** The state of a server, if requests were ever routed to it. */
  get (backendServerId: string): ServerState | undefined {
    return this.#servers.get(backendServerId)
  }

  /** Every state. */
  all (): IterableIterator<ServerState> {
    return this.#servers.values()
  }

  /** Whether one more server may be ejected. */
  mayEject (nowMs: number): boolean {
    let ejected = 0
    for (const server of this.#servers.values()) {
      if (server.ejection.state(nowMs) !== 'in_service') ejected++
    }
    return ejected + 1 <= this.#servers.size * this.#settings.ejectionMaxShare
  }

  /** A restarted server starts with a fresh limit and health, but its old requests still have to end. */
  #state (known: KnownServer): ServerState {
    const id = known.record.backendServerId
    const state = this.#servers.get(id)
    if (state !== undefined && state.known === known && !state.isOutdated) {
      state.limit.setCeiling(ceilingOf(known.record))
      return state
    }
    const fresh = new ServerState(known, this.#registry, this.#settings, this.#location)
    this.#servers.set(id, fresh)
    return fresh
  }

  #group (servers: readonly ServerState[]): ServerTiers {
    const { region, availabilityZone } = this.#location
    const isNear = (server: ServerState): boolean => server.known.record.region === region
    const isNearest = (server: ServerState): boolean =>
      isNear(server) && server.known.record.availabilityZone === availabilityZone
    return [
      servers.filter(isNearest),
      servers.filter(server => isNear(server) && !isNearest(server)),
      servers.filter(server => !isNear(server))
    ]
  }
}

function ceilingOf (record: BackendServerRecord): number {
  return Math.max(1, Math.min(record.slots, record.connections))
}

function fits (own: number, remote: number, limit: number, entryVms: number): boolean {
  if (own >= limit) return false
  return own < Math.floor(limit / entryVms) || Math.round(own + remote) < limit
}
