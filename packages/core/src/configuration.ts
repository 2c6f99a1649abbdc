/**
 * Inventory and rules: keyed records, versions, and changes small enough to send 47,000 times a day.
 */
import type {
  ConfigurationChange, ConfigurationDocument, Guarantee, Organisation, Rack, RecordKind, Remove, Rules, Upsert, Worker
} from './configuration-schema.js'
import { type Failure, type Result, fail, failure, succeed } from './errors.js'

/** Inventory and rules in force. */
export interface Configuration {
  readonly version: number
  readonly racks: ReadonlyMap<string, Rack>
  readonly workers: ReadonlyMap<string, Worker>
  readonly organisations: ReadonlyMap<string, Organisation>
  readonly guarantees: ReadonlyMap<string, Guarantee>
  readonly rules: Rules
}

/** Rules in force before the first change. */
export const defaultRules: Rules = {
  maxGangTasks: 64,
  reclaimWithinMs: 3_000,
  maxRequestBodyBytes: 1024 * 1024,
  defaultDeadlineMs: 10_000,
  maxDeadlineMs: 120_000
}

/**
 * The configuration of a system that no operator has configured yet: version 0 and no records.
 *
 * @example
 * emptyConfiguration().version // 0
 */
export function emptyConfiguration (): Configuration {
  return {
    version: 0,
    racks: new Map(),
    workers: new Map(),
    organisations: new Map(),
    guarantees: new Map(),
    rules: defaultRules
  }
}

/**
 * Applies a change and checks every reference between records.
 *
 * @returns the new configuration; the given one is left as it is
 * @example
 * const result = applyChange(emptyConfiguration(), { version: 1, baseVersion: 0, upserts: [], removes: [] })
 */
export function applyChange (current: Configuration, change: ConfigurationChange): Result<Configuration> {
  if (change.version !== change.baseVersion + 1) {
    return fail('invalid_configuration', `version ${change.version} must be baseVersion ${change.baseVersion} plus 1`)
  }
  if (change.baseVersion !== current.version) {
    return fail('version_gap', `the change is based on version ${change.baseVersion}, version ${current.version} is in force`)
  }
  const next = new ConfigurationDraft(current, change.version)
  for (const removal of change.removes) {
    if (!next.remove(removal)) return fail('invalid_configuration', `${removal.kind} ${removal.id} is not in the inventory`)
  }
  for (const upsert of change.upserts) next.upsert(upsert)
  const problem = findBrokenReference(next)
  return problem === undefined ? succeed(next.finish()) : { ok: false, failure: problem }
}

/** Copies only the maps that a change touches: at 21,000 workers a copy of all would cost more than the change. */
class ConfigurationDraft {
  readonly #base: Configuration
  readonly #version: number
  readonly #copies = new Map<RecordKind, Map<string, never>>()
  #rules: Rules

  constructor (base: Configuration, version: number) {
    this.#base = base
    this.#version = version
    this.#rules = base.rules
  }

  remove ({ kind, id }: Remove): boolean {
    return this.#writable(kind).delete(id)
  }

  upsert (upsert: Upsert): void {
    switch (upsert.kind) {
      case 'rack': this.#writable('rack').set(upsert.record.rackId, upsert.record); break
      case 'worker': this.#writable('worker').set(upsert.record.workerId, upsert.record); break
      case 'organisation': this.#writable('organisation').set(upsert.record.organisationId, upsert.record); break
      case 'guarantee': this.#writable('guarantee').set(upsert.record.guaranteeId, upsert.record); break
      case 'rules': this.#rules = upsert.record; break
    }
  }

  changed (kind: RecordKind): boolean {
    return this.#copies.has(kind)
  }

  finish (): Configuration {
    return {
      version: this.#version,
      racks: this.#current('rack'),
      workers: this.#current('worker'),
      organisations: this.#current('organisation'),
      guarantees: this.#current('guarantee'),
      rules: this.#rules
    }
  }

  #baseMap (kind: RecordKind): ReadonlyMap<string, unknown> {
    switch (kind) {
      case 'rack': return this.#base.racks
      case 'worker': return this.#base.workers
      case 'organisation': return this.#base.organisations
      case 'guarantee': return this.#base.guarantees
    }
  }

  #current<T> (kind: RecordKind): ReadonlyMap<string, T> {
    return (this.#copies.get(kind) ?? this.#baseMap(kind)) as ReadonlyMap<string, T>
  }

  #writable (kind: RecordKind): Map<string, unknown> {
    let copy = this.#copies.get(kind)
    if (copy === undefined) {
      copy = new Map(this.#baseMap(kind)) as Map<string, never>
      this.#copies.set(kind, copy)
    }
    return copy as Map<string, unknown>
  }
}

function findBrokenReference (draft: ConfigurationDraft): Failure | undefined {
  const next = draft.finish()
  if (draft.changed('rack') || draft.changed('worker')) {
    const problem = findBrokenWorker(next)
    if (problem !== undefined) return problem
  }
  if (draft.changed('organisation') || draft.changed('guarantee')) {
    for (const guarantee of next.guarantees.values()) {
      if (!next.organisations.has(guarantee.organisationId)) {
        return failure('invalid_configuration',
          `guarantee ${guarantee.guaranteeId} names organisation ${guarantee.organisationId}, which does not exist`)
      }
    }
  }
  if (next.rules.defaultDeadlineMs > next.rules.maxDeadlineMs) {
    return failure('invalid_configuration', 'rules.defaultDeadlineMs is above rules.maxDeadlineMs')
  }
  return undefined
}

function findBrokenWorker (next: Configuration): Failure | undefined {
  const positions = new Map<string, string>()
  for (const worker of next.workers.values()) {
    if (!next.racks.has(worker.rackId)) {
      return failure('invalid_configuration', `worker ${worker.workerId} names rack ${worker.rackId}, which does not exist`)
    }
    const position = `${worker.rackId}/${worker.rackPosition}`
    const other = positions.get(position)
    if (other !== undefined) {
      return failure('invalid_configuration',
        `workers ${other} and ${worker.workerId} share position ${worker.rackPosition} of rack ${worker.rackId}`)
    }
    positions.set(position, worker.workerId)
  }
  return undefined
}

/**
 * Gives a configuration as the document that operators edit, sorted by identifier.
 *
 * @example
 * toDocument(emptyConfiguration()).workers // []
 */
export function toDocument (configuration: Configuration): ConfigurationDocument {
  return {
    racks: sorted(configuration.racks),
    workers: sorted(configuration.workers),
    organisations: sorted(configuration.organisations),
    guarantees: sorted(configuration.guarantees),
    rules: configuration.rules
  }
}

/**
 * Builds a configuration from a document without checking references; used for copies that were checked before.
 *
 * @example
 * fromDocument(toDocument(configuration), configuration.version)
 */
export function fromDocument (document: ConfigurationDocument, version: number): Configuration {
  return {
    version,
    racks: new Map(document.racks.map(rack => [rack.rackId, rack])),
    workers: new Map(document.workers.map(worker => [worker.workerId, worker])),
    organisations: new Map(document.organisations.map(organisation => [organisation.organisationId, organisation])),
    guarantees: new Map(document.guarantees.map(guarantee => [guarantee.guaranteeId, guarantee])),
    rules: document.rules
  }
}

/**
 * Computes the change that turns the configuration in force into the given document.
 *
 * @example
 * const change = diffDocument(current, editedDocument)
 * change.upserts.length + change.removes.length // number of changed records
 */
export function diffDocument (current: Configuration, document: ConfigurationDocument): ConfigurationChange {
  const wanted = fromDocument(document, current.version + 1)
  const upserts: Upsert[] = []
  const removes: Remove[] = []
  collect('rack', current.racks, wanted.racks, record => ({ kind: 'rack', record }), upserts, removes)
  collect('worker', current.workers, wanted.workers, record => ({ kind: 'worker', record }), upserts, removes)
  collect('organisation', current.organisations, wanted.organisations,
    record => ({ kind: 'organisation', record }), upserts, removes)
  collect('guarantee', current.guarantees, wanted.guarantees,
    record => ({ kind: 'guarantee', record }), upserts, removes)
  if (!sameRecord(current.rules, wanted.rules)) upserts.push({ kind: 'rules', record: wanted.rules })
  return { version: current.version + 1, baseVersion: current.version, upserts, removes }
}

function collect<T extends object> (
  kind: RecordKind,
  current: ReadonlyMap<string, T>,
  wanted: ReadonlyMap<string, T>,
  toUpsert: (record: T) => Upsert,
  upserts: Upsert[],
  removes: Remove[]
): void {
  for (const [id, record] of wanted) {
    const existing = current.get(id)
    if (existing === undefined || !sameRecord(existing, record)) upserts.push(toUpsert(record))
  }
  for (const id of current.keys()) {
    if (!wanted.has(id)) removes.push({ kind, id })
  }
}

function sameRecord (left: object, right: object): boolean {
  const keys = Object.keys(left)
  if (keys.length !== Object.keys(right).length) return false
  return keys.every(key => Reflect.get(left, key) === Reflect.get(right, key))
}

function sorted<T> (records: ReadonlyMap<string, T>): T[] {
  return [...records.entries()].sort(([left], [right]) => left < right ? -1 : 1).map(([, record]) => record)
}
