/** Routing state of the backend servers: load, concurrency limits and health. */
import type { BackendServerRecord } from '@comfreygrade/core'
import { Ejection } from './ejection.js'
import { AdaptiveConcurrencyLimit } from './adaptive-concurrency-limit.js'
import { PeerLoad, type LoadEntry } from './peer-load.js'
import type { BackendRegistry, RegisteredServer } from './registry.js'
import type { WorkClass } from './service-time-estimator.js'
import type { RoutingSettings } from './settings.js'

/** Region and availability zone of an entry VM. */
export interface Location {
  readonly region: string
  readonly availabilityZone: string
}

/** Servers of one service by distance: same availability zone, same region, other regions. */
export type LocalityTiers = ReadonlyArray<readonly ServerState[]>

/** Load, concurrency limit and health of one backend server as seen by one entry VM. */
export class ServerState {
  readonly registration: RegisteredServer
  /** Whether the server is in another region than the entry VM. */
  readonly isCrossRegion: boolean
  readonly ejection: Ejection
  readonly concurrencyLimit: AdaptiveConcurrencyLimit
  readonly peerLoad: PeerLoad
  readonly #registry: BackendRegistry
  readonly #settings: RoutingSettings
  #incarnation: number
  #inFlight = 0
  #longInFlight = 0

  constructor (
    registration: RegisteredServer, registry: BackendRegistry, settings: RoutingSettings, location: Location
  ) {
    this.isCrossRegion = registration.record.region !== location.region
    this.registration = registration
    this.#registry = registry
    this.#settings = settings
    this.#incarnation = registration.record.incarnation
    this.ejection = new Ejection(settings)
    this.concurrencyLimit = new AdaptiveConcurrencyLimit(settings, concurrencyCeilingOf(registration.record))
    this.peerLoad = new PeerLoad(settings)
  }

  get id (): string {
    return this.registration.record.backendServerId
  }

  /** Requests that this entry VM has in flight to the server. */
  get inFlight (): number {
    return this.#inFlight
  }

  /** Whether the server has restarted since this state was created. */
  get isOutdated (): boolean {
    return this.#incarnation !== this.registration.record.incarnation
  }

  /** Whether the registry allows new requests to the server. */
  isServing (nowMs: number): boolean {
    return this.#registry.isServing(this.registration, nowMs)
  }

  /** Requests of this entry VM and of its peers plus the load added for recent failures, relative to the limit. */
  load (nowMs: number): number {
    const requests = this.#inFlight + this.peerLoad.inFlight(nowMs) + this.ejection.failureLoad(nowMs)
    return requests / this.concurrencyLimit.maxInFlight
  }

  /**
   * Whether the server has capacity for one more request. Each entry VM may always use an equal share of the limit,
   * rounded down: counts of peers are stale, and peers that take free slots first could otherwise starve this VM. The
   * share is 0 if the limit is below the number of entry VMs.
   */
  hasCapacity (workClass: WorkClass, entryVmCount: number, nowMs: number): boolean {
    const limit = Math.max(1, Math.floor(
      this.concurrencyLimit.maxInFlight * (this.isCrossRegion ? this.#settings.crossRegionMaxLoad : 1)))
    if (!fitsOneMore(this.#inFlight, this.peerLoad.inFlight(nowMs), limit, entryVmCount)) return false
    if (workClass === 'short') return true
    const longLimit = Math.max(1, limit - this.#settings.reservedShortSlots)
    return fitsOneMore(this.#longInFlight, this.peerLoad.longInFlight(nowMs), longLimit, entryVmCount)
  }

  recordDispatch (workClass: WorkClass, nowMs: number): void {
    this.#inFlight++
    if (workClass === 'long') this.#longInFlight++
    this.ejection.recordDispatch(nowMs)
  }

  /** Records the end of an attempt. */
  recordEnd (workClass: WorkClass): void {
    this.#inFlight--
    if (workClass === 'long') this.#longInFlight--
  }

  toLoadEntry (): LoadEntry {
    return { backendServerId: this.id, inFlight: this.#inFlight, longInFlight: this.#longInFlight }
  }
}

/** States of all backend servers, grouped by service and distance. */
export class ServerPool {
  readonly #registry: BackendRegistry
  readonly #settings: RoutingSettings
  readonly #location: Location
  readonly #servers = new Map<string, ServerState>()
  readonly #tiersByService = new Map<string, LocalityTiers>()
  #membershipVersion = -1

  constructor (registry: BackendRegistry, settings: RoutingSettings, location: Location) {
    this.#registry = registry
    this.#settings = settings
    this.#location = location
  }

  /** Whether the registry changed since the last `refresh`. */
  get isStale (): boolean {
    return this.#membershipVersion !== this.#registry.membershipVersion
  }

  /** Discards the tiers after a change of the registry, and the states of idle servers that were removed from it. */
  refresh (): void {
    this.#membershipVersion = this.#registry.membershipVersion
    this.#tiersByService.clear()
    for (const [id, server] of this.#servers) {
      if (!this.#registry.has(id) && server.inFlight === 0) this.#servers.delete(id)
    }
  }

  /**
   * Servers of a service, grouped at the first use after a `refresh`; empty if no registered server has announced the
   * service.
   */
  tiersOf (service: string): LocalityTiers {
    const cached = this.#tiersByService.get(service)
    if (cached !== undefined) return cached
    const registered = this.#registry.serversOf(service)
    if (registered.length === 0) return []
    const tiers = this.#groupByLocality(registered.map(each => this.#stateOf(each)))
    this.#tiersByService.set(service, tiers)
    return tiers
  }

  /** The state of a server, if a request for one of its services has arrived. */
  get (backendServerId: string): ServerState | undefined {
    return this.#servers.get(backendServerId)
  }

  /** All server states. */
  all (): IterableIterator<ServerState> {
    return this.#servers.values()
  }

  /** Whether one more server may be ejected without exceeding `ejectionMaxShare`. */
  mayEject (nowMs: number): boolean {
    let outOfService = 0
    for (const server of this.#servers.values()) {
      if (server.ejection.state(nowMs) !== 'in_service') outOfService++
    }
    return outOfService + 1 <= this.#servers.size * this.#settings.ejectionMaxShare
  }

  /**
   * Returns the state of a server. A restarted server gets a new state with a new limit and health; attempts that were
   * dispatched earlier end on the previous state. When one ends, the dispatcher may send a waiting request on the
   * previous state, which the limit of the new state and the load reports do not include.
   */
  #stateOf (registration: RegisteredServer): ServerState {
    const id = registration.record.backendServerId
    const state = this.#servers.get(id)
    if (state !== undefined && state.registration === registration && !state.isOutdated) {
      state.concurrencyLimit.setCeiling(concurrencyCeilingOf(registration.record))
      return state
    }
    const created = new ServerState(registration, this.#registry, this.#settings, this.#location)
    this.#servers.set(id, created)
    return created
  }

  #groupByLocality (servers: readonly ServerState[]): LocalityTiers {
    const { region, availabilityZone } = this.#location
    const isSameRegion = (server: ServerState): boolean => server.registration.record.region === region
    const isSameZone = (server: ServerState): boolean =>
      isSameRegion(server) && server.registration.record.availabilityZone === availabilityZone
    return [
      servers.filter(isSameZone),
      servers.filter(server => isSameRegion(server) && !isSameZone(server)),
      servers.filter(server => !isSameRegion(server))
    ]
  }
}

function concurrencyCeilingOf (record: BackendServerRecord): number {
  return Math.max(1, Math.min(record.slots, record.connections))
}

/**
 * Whether one more request fits the limit. Peer counts become fractions as they decay; rounding counts a slot as free
 * once the sum is more than half a request below the limit.
 */
function fitsOneMore (ownInFlight: number, peerInFlight: number, limit: number, entryVmCount: number): boolean {
  if (ownInFlight >= limit) return false
  return ownInFlight < Math.floor(limit / entryVmCount) || Math.round(ownInFlight + peerInFlight) < limit
}
