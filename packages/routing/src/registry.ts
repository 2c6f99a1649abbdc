/** Registry of the backend servers known to one entry VM. */
import type { BackendServerRecord } from '@comfreygrade/core'

/** A record with the time since its heartbeat was received, as sent to peers. */
export interface AgedRecord {
  readonly record: BackendServerRecord
  readonly ageMs: number
}

/** Records that changed after a given registry version, oldest change first. */
export interface RegistryChanges {
  /** Version to pass to the next call of `changedSince`. */
  readonly version: number
  readonly records: readonly AgedRecord[]
}

/** A registered backend server; the object is updated in place as long as the server stays registered. */
export interface RegisteredServer {
  readonly record: BackendServerRecord
  readonly lastHeartbeatAtMs: number
  readonly isDraining: boolean
}

interface MutableRegisteredServer {
  record: BackendServerRecord
  lastHeartbeatAtMs: number
  isDraining: boolean
  changedAtVersion: number
}

/**
 * Time without a heartbeat after which a server is removed once another is added; until then, it is listed as expired.
 */
const DEFAULT_REMOVE_AFTER_MS = 60_000

/**
 * Registry of announced backend servers. The records of a server are ordered by incarnation and sequence, so that a
 * delayed record never replaces a newer one.
 *
 * @example
 * const registry = new BackendRegistry(3_000)
 * registry.announce(record, clock.monotonicMs())
 * registry.servingRecords('print', clock.monotonicMs())
 */
export class BackendRegistry {
  readonly #expireAfterMs: number
  readonly #removeAfterMs: number
  readonly #servers = new Map<string, MutableRegisteredServer>()
  #drainingIds: ReadonlySet<string> = new Set()
  #recordVersion = 0
  #membershipVersion = 0

  constructor (expireAfterMs: number, removeAfterMs = DEFAULT_REMOVE_AFTER_MS) {
    this.#expireAfterMs = expireAfterMs
    this.#removeAfterMs = Math.max(removeAfterMs, expireAfterMs)
  }

  /**
   * Incremented when a server is added, a newer record changes more than its sequence or follows its expiry, it starts
   * to leave, or the draining servers are set. Expiry does not increment it.
   */
  get membershipVersion (): number {
    return this.#membershipVersion
  }

  /**
   * Applies a heartbeat, or a record from a peer that received it `ageMs` ago.
   *
   * @returns whether the record of the server changed, so that it has to be sent to peers
   */
  announce (record: BackendServerRecord, nowMs: number, ageMs = 0): boolean {
    if (ageMs >= this.#expireAfterMs) return false
    const lastHeartbeatAtMs = nowMs - ageMs
    const server = this.#servers.get(record.backendServerId)
    if (server === undefined) return this.#add(record, lastHeartbeatAtMs, nowMs)
    const order = compareIncarnationAndSequence(record, server.record)
    if (order < 0) return this.#applyIfLeaving(server, record)
    if (order === 0) {
      server.lastHeartbeatAtMs = Math.max(server.lastHeartbeatAtMs, lastHeartbeatAtMs)
      return this.#applyIfLeaving(server, record)
    }
    this.#replace(server, record, lastHeartbeatAtMs, nowMs)
    return true
  }

  /** Sets the backend servers that operators drain; they finish their requests in flight and get no new ones. */
  setDraining (ids: ReadonlySet<string>): void {
    this.#drainingIds = new Set(ids)
    for (const [id, server] of this.#servers) server.isDraining = this.#drainingIds.has(id)
    this.#membershipVersion++
  }

  /** Whether a backend server is registered, in any state. */
  has (backendServerId: string): boolean {
    return this.#servers.has(backendServerId)
  }

  /** Whether a backend server may receive new requests: it is active, not draining and has not expired. */
  isServing (server: RegisteredServer, nowMs: number): boolean {
    return server.record.state === 'active' && !server.isDraining && this.#isFresh(server, nowMs)
  }

  /** Records of the backend servers that may receive new requests of a service. */
  servingRecords (service: string, nowMs: number): BackendServerRecord[] {
    return this.serversOf(service).filter(server => this.isServing(server, nowMs)).map(server => server.record)
  }

  /** Backend servers that announced a service, in any state. */
  serversOf (service: string): RegisteredServer[] {
    return [...this.#servers.values()].filter(server => server.record.services.includes(service))
  }

  /** Records of all registered backend servers with their current state, for operators. */
  allRecords (nowMs: number): BackendServerRecord[] {
    return [...this.#servers.values()].map(server =>
      this.#isFresh(server, nowMs) ? server.record : { ...server.record, state: 'expired' })
  }

  /**
   * Returns at most `maxRecords` records that changed after `version`, with their age. Expired records are omitted.
   *
   * @example
   * const batch = registry.changedSince(sentVersion, clock.monotonicMs(), 200)
   * sentVersion = batch.version
   */
  changedSince (version: number, nowMs: number, maxRecords = Infinity): RegistryChanges {
    const changed = [...this.#servers.values()]
      .filter(server => server.changedAtVersion > version && this.#isFresh(server, nowMs))
      .sort((left, right) => left.changedAtVersion - right.changedAtVersion)
    const included = changed.slice(0, maxRecords)
    const records = included.map(server => ({ record: server.record, ageMs: nowMs - server.lastHeartbeatAtMs }))
    const isComplete = included.length === changed.length
    return { version: isComplete ? this.#recordVersion : included.at(-1)?.changedAtVersion ?? version, records }
  }

  #isFresh (server: RegisteredServer, nowMs: number): boolean {
    return nowMs - server.lastHeartbeatAtMs < this.#expireAfterMs
  }

  #add (record: BackendServerRecord, lastHeartbeatAtMs: number, nowMs: number): boolean {
    this.#removeSilent(nowMs)
    const isDraining = this.#drainingIds.has(record.backendServerId)
    const changedAtVersion = ++this.#recordVersion
    this.#servers.set(record.backendServerId, { record, lastHeartbeatAtMs, isDraining, changedAtVersion })
    this.#membershipVersion++
    return true
  }

  #replace (
    server: MutableRegisteredServer, record: BackendServerRecord, lastHeartbeatAtMs: number, nowMs: number
  ): void {
    const isSameIncarnation = record.incarnation === server.record.incarnation
    const isLeaving = isSameIncarnation && server.record.state === 'leaving'
    const newRecord: BackendServerRecord = isLeaving ? { ...record, state: 'leaving' } : record
    if (!this.#isFresh(server, nowMs) || !equalIgnoringSequence(server.record, newRecord)) this.#membershipVersion++
    server.record = newRecord
    server.lastHeartbeatAtMs = Math.max(server.lastHeartbeatAtMs, lastHeartbeatAtMs)
    server.changedAtVersion = ++this.#recordVersion
  }

  /** State `leaving` is final within an incarnation, so it applies even if the record that states it arrives late. */
  #applyIfLeaving (server: MutableRegisteredServer, record: BackendServerRecord): boolean {
    const isSameIncarnation = record.incarnation === server.record.incarnation
    if (!isSameIncarnation || record.state !== 'leaving' || server.record.state === 'leaving') return false
    server.record = { ...server.record, state: 'leaving' }
    server.changedAtVersion = ++this.#recordVersion
    this.#membershipVersion++
    return true
  }

  #removeSilent (nowMs: number): void {
    for (const [id, server] of this.#servers) {
      if (nowMs - server.lastHeartbeatAtMs >= this.#removeAfterMs) this.#servers.delete(id)
    }
  }
}

function compareIncarnationAndSequence (left: BackendServerRecord, right: BackendServerRecord): number {
  if (left.incarnation !== right.incarnation) return left.incarnation - right.incarnation
  return left.sequence - right.sequence
}

function equalIgnoringSequence (left: BackendServerRecord, right: BackendServerRecord): boolean {
  return left.incarnation === right.incarnation && left.state === right.state && left.address === right.address &&
    left.slots === right.slots && left.connections === right.connections && left.region === right.region &&
    left.availabilityZone === right.availabilityZone && left.services.join() === right.services.join()
}
