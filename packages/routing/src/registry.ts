/** Backend servers known to one entry VM. */
import type { BackendServerRecord } from '@comfreygrade/core'

/** A record with the time since its heartbeat was heard, as sent to peers. */
export interface AgedRecord {
  readonly record: BackendServerRecord
  readonly ageMs: number
}

/** Records that changed after a version, oldest change first. */
export interface RegistryBatch {
  /** Pass this to the next call of `changedSince`. */
  readonly version: number
  readonly records: readonly AgedRecord[]
}

/** A backend server as the registry holds it; the object stays the same while the server is known. */
export interface KnownServer {
  readonly record: BackendServerRecord
  readonly heardAtMs: number
  readonly isDraining: boolean
}

interface MutableServer {
  record: BackendServerRecord
  heardAtMs: number
  isDraining: boolean
  changedAtVersion: number
}

const DEFAULT_FORGET_AFTER_MS = 60_000

/**
 * Registry of announced backend servers, ordered by (incarnation, sequence) so that an old record never wins.
 *
 * @example
 * const registry = new BackendRegistry(3_000)
 * registry.announce(record, clock.monotonicMs())
 * registry.active('print', clock.monotonicMs())
 */
export class BackendRegistry {
  readonly #expireAfterMs: number
  readonly #forgetAfterMs: number
  readonly #servers = new Map<string, MutableServer>()
  #draining: ReadonlySet<string> = new Set()
  #recordVersion = 0
  #membershipVersion = 0

  constructor (expireAfterMs: number, forgetAfterMs = DEFAULT_FORGET_AFTER_MS) {
    this.#expireAfterMs = expireAfterMs
    this.#forgetAfterMs = Math.max(forgetAfterMs, expireAfterMs)
  }

  /** Rises whenever a server appears, returns or changes anything but its sequence. */
  get membershipVersion (): number {
    return this.#membershipVersion
  }

  /**
   * Takes a heartbeat or a record of a peer that heard it `ageMs` ago.
   *
   * @returns whether anything about the server became newer, so that peers have to be told
   */
  announce (record: BackendServerRecord, nowMs: number, ageMs = 0): boolean {
    if (ageMs >= this.#expireAfterMs) return false
    const heardAtMs = nowMs - ageMs
    const known = this.#servers.get(record.backendServerId)
    if (known === undefined) return this.#add(record, heardAtMs, nowMs)
    const order = compareRecords(record, known.record)
    if (order < 0) return this.#takeOlder(known, record)
    if (order === 0) {
      known.heardAtMs = Math.max(known.heardAtMs, heardAtMs)
      return this.#takeOlder(known, record)
    }
    this.#replace(known, record, heardAtMs, nowMs)
    return true
  }

  /** Backend servers that operators drain; they finish open requests and get no new ones. */
  setDraining (ids: ReadonlySet<string>): void {
    this.#draining = new Set(ids)
    for (const [id, known] of this.#servers) known.isDraining = this.#draining.has(id)
    this.#membershipVersion++
  }

  /** Whether a backend server is known, in whatever state. */
  has (backendServerId: string): boolean {
    return this.#servers.has(backendServerId)
  }

  /** Whether a backend server may receive new work. */
  isServing (known: KnownServer, nowMs: number): boolean {
    return known.record.state === 'active' && !known.isDraining && this.#isFresh(known, nowMs)
  }

  /** Backend servers that may receive new work of a service. */
  active (service: string, nowMs: number): BackendServerRecord[] {
    return this.known(service).filter(known => this.isServing(known, nowMs)).map(known => known.record)
  }

  /** Backend servers that announced a service, whatever their state is now. */
  known (service: string): KnownServer[] {
    return [...this.#servers.values()].filter(known => known.record.services.includes(service))
  }

  /** Every known backend server with its present state, for operators. */
  all (nowMs: number): BackendServerRecord[] {
    return [...this.#servers.values()].map(known =>
      this.#isFresh(known, nowMs) ? known.record : { ...known.record, state: 'expired' })
  }

  /**
   * Records that changed after `version`, with their age, at most `maxRecords` of them. Expired records are left out.
   *
   * @example
   * const batch = registry.changedSince(sentVersion, clock.monotonicMs(), 200)
   * sentVersion = batch.version
   */
  changedSince (version: number, nowMs: number, maxRecords = Infinity): RegistryBatch {
    const changed = [...this.#servers.values()]
      .filter(known => known.changedAtVersion > version && this.#isFresh(known, nowMs))
      .sort((left, right) => left.changedAtVersion - right.changedAtVersion)
    const sent = changed.slice(0, maxRecords)
    const records = sent.map(known => ({ record: known.record, ageMs: nowMs - known.heardAtMs }))
    const isComplete = sent.length === changed.length
    return { version: isComplete ? this.#recordVersion : sent.at(-1)?.changedAtVersion ?? version, records }
  }

  #isFresh (known: KnownServer, nowMs: number): boolean {
    return nowMs - known.heardAtMs < this.#expireAfterMs
  }

  #add (record: BackendServerRecord, heardAtMs: number, nowMs: number): boolean {
    this.#forgetSilent(nowMs)
    const isDraining = this.#draining.has(record.backendServerId)
    const changedAtVersion = ++this.#recordVersion
    this.#servers.set(record.backendServerId, { record, heardAtMs, isDraining, changedAtVersion })
    this.#membershipVersion++
    return true
  }

  #replace (known: MutableServer, record: BackendServerRecord, heardAtMs: number, nowMs: number): void {
    const isSameStart = record.incarnation === known.record.incarnation
    const isLeaving = isSameStart && known.record.state === 'leaving'
    const next: BackendServerRecord = isLeaving ? { ...record, state: 'leaving' } : record
    if (!this.#isFresh(known, nowMs) || !describesSameServer(known.record, next)) this.#membershipVersion++
    known.record = next
    known.heardAtMs = Math.max(known.heardAtMs, heardAtMs)
    known.changedAtVersion = ++this.#recordVersion
  }

  /** Leaving is final within one incarnation, so even a record that arrives late ends new work. */
  #takeOlder (known: MutableServer, record: BackendServerRecord): boolean {
    const isSameStart = record.incarnation === known.record.incarnation
    if (!isSameStart || record.state !== 'leaving' || known.record.state === 'leaving') return false
    known.record = { ...known.record, state: 'leaving' }
    known.changedAtVersion = ++this.#recordVersion
    this.#membershipVersion++
    return true
  }

  #forgetSilent (nowMs: number): void {
    for (const [id, known] of this.#servers) {
      if (nowMs - known.heardAtMs >= this.#forgetAfterMs) this.#servers.delete(id)
    }
  }
}

function compareRecords (left: BackendServerRecord, right: BackendServerRecord): number {
  if (left.incarnation !== right.incarnation) return left.incarnation - right.incarnation
  return left.sequence - right.sequence
}

function describesSameServer (left: BackendServerRecord, right: BackendServerRecord): boolean {
  return left.incarnation === right.incarnation && left.state === right.state && left.address === right.address &&
    left.slots === right.slots && left.connections === right.connections && left.region === right.region &&
    left.availabilityZone === right.availabilityZone && left.services.join() === right.services.join()
}
