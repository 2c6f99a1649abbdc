/** Versioned inventory and rules, and changes to them, which are kept small because up to 47,000 are sent a day. */
import type {
  ConfigurationChange, ConfigurationDocument, Guarantee, Organisation, Rack, RecordKind, Remove, Rules, Upsert, Worker
} from './configuration-schema.js'
import { type Failure, type Result, fail, failure, succeed } from './errors.js'

/** One version of the inventory and rules. */
export interface Configuration {
  readonly version: number
  readonly racks: ReadonlyMap<string, Rack>
  readonly workers: ReadonlyMap<string, Worker>
  readonly organisations: ReadonlyMap<string, Organisation>
  readonly guarantees: ReadonlyMap<string, Guarantee>
  readonly rules: Rules
}

/** Rules of the empty configuration. */
export const defaultRules: Rules = {
  maxGangTasks: 64,
  reclaimWithinMs: 3_000,
  maxRequestBodyBytes: 1024 * 1024,
  defaultDeadlineMs: 10_000,
  maxDeadlineMs: 120_000
}

/**
 * Returns the initial configuration: version 0, no records and the default rules.
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
 * Applies a change and validates the result: references between records, positions of workers, and default and maximum
 * deadline. Records are removed before others are added, so that one change can free an identifier and use it again.
 *
 * @returns the new configuration; `current` is not modified
 * @example
 * const result = applyChange(emptyConfiguration(), { version: 1, baseVersion: 0, upserts: [], removes: [] })
 */
export function applyChange (current: Configuration, change: ConfigurationChange): Result<Configuration> {
  if (change.version !== change.baseVersion + 1) {
    return fail('invalid_configuration', `version is ${change.version}, but must be baseVersion ${change.baseVersion} plus 1`)
  }
  if (change.baseVersion !== current.version) {
    return fail('version_gap', `the change is based on version ${change.baseVersion}, but the current version is ${current.version}`)
  }
  const next = new ConfigurationDraft(current, change.version)
  for (const removal of change.removes) {
    if (!next.remove(removal)) return fail('invalid_configuration', `cannot remove ${removal.kind} ${removal.id}: it does not exist`)
  }
  for (const upsert of change.upserts) next.upsert(upsert)
  const problem = findProblem(next)
  return problem === undefined ? succeed(next.build()) : { ok: false, failure: problem }
}

/** Copies only the maps that a change modifies; with 21,000 workers, copying all of them costs more than the change. */
class ConfigurationDraft {
  readonly #base: Configuration
  readonly #version: number
  /** The value type `never` stands for the record type of the kind, which the accessors below cast to. */
  readonly #changedMaps = new Map<RecordKind, Map<string, never>>()
  #rules: Rules

  constructor (base: Configuration, version: number) {
    this.#base = base
    this.#version = version
    this.#rules = base.rules
  }

  remove ({ kind, id }: Remove): boolean {
    return this.#writableMap(kind).delete(id)
  }

  upsert (upsert: Upsert): void {
    switch (upsert.kind) {
      case 'rack': this.#writableMap('rack').set(upsert.record.rackId, upsert.record); break
      case 'worker': this.#writableMap('worker').set(upsert.record.workerId, upsert.record); break
      case 'organisation': this.#writableMap('organisation').set(upsert.record.organisationId, upsert.record); break
      case 'guarantee': this.#writableMap('guarantee').set(upsert.record.guaranteeId, upsert.record); break
      case 'rules': this.#rules = upsert.record; break
    }
  }

  hasChanged (kind: RecordKind): boolean {
    return this.#changedMaps.has(kind)
  }

  build (): Configuration {
    return {
      version: this.#version,
      racks: this.#latestMap('rack'),
      workers: this.#latestMap('worker'),
      organisations: this.#latestMap('organisation'),
      guarantees: this.#latestMap('guarantee'),
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

  #latestMap<T> (kind: RecordKind): ReadonlyMap<string, T> {
    return (this.#changedMaps.get(kind) ?? this.#baseMap(kind)) as ReadonlyMap<string, T>
  }

  #writableMap (kind: RecordKind): Map<string, unknown> {
    let copy = this.#changedMaps.get(kind)
    if (copy === undefined) {
      copy = new Map(this.#baseMap(kind)) as Map<string, never>
      this.#changedMaps.set(kind, copy)
    }
    return copy as Map<string, unknown>
  }
}

function findProblem (draft: ConfigurationDraft): Failure | undefined {
  const next = draft.build()
  if (draft.hasChanged('rack') || draft.hasChanged('worker')) {
    const problem = findWorkerProblem(next)
    if (problem !== undefined) return problem
  }
  if (draft.hasChanged('organisation') || draft.hasChanged('guarantee')) {
    for (const guarantee of next.guarantees.values()) {
      if (!next.organisations.has(guarantee.organisationId)) {
        return failure('invalid_configuration',
          `guarantee ${guarantee.guaranteeId} refers to organisation ${guarantee.organisationId}, which does not exist`)
      }
    }
  }
  if (next.rules.defaultDeadlineMs > next.rules.maxDeadlineMs) {
    return failure('invalid_configuration', 'rules.defaultDeadlineMs is greater than rules.maxDeadlineMs')
  }
  return undefined
}

function findWorkerProblem (next: Configuration): Failure | undefined {
  const positions = new Map<string, string>()
  for (const worker of next.workers.values()) {
    if (!next.racks.has(worker.rackId)) {
      return failure('invalid_configuration', `worker ${worker.workerId} refers to rack ${worker.rackId}, which does not exist`)
    }
    const position = `${worker.rackId}/${worker.rackPosition}`
    const other = positions.get(position)
    if (other !== undefined) {
      return failure('invalid_configuration',
        `workers ${other} and ${worker.workerId} both have position ${worker.rackPosition} in rack ${worker.rackId}`)
    }
    positions.set(position, worker.workerId)
  }
  return undefined
}

/**
 * Converts a configuration to the document that operators edit, with records sorted by identifier.
 *
 * @example
 * toDocument(emptyConfiguration()).workers // []
 */
export function toDocument (configuration: Configuration): ConfigurationDocument {
  return {
    racks: sortedById(configuration.racks),
    workers: sortedById(configuration.workers),
    organisations: sortedById(configuration.organisations),
    guarantees: sortedById(configuration.guarantees),
    rules: configuration.rules
  }
}

/**
 * Builds a configuration from a document without validating references, for documents that were validated before.
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
 * Computes the change that turns the current configuration into the given document.
 *
 * @example
 * const change = diffDocument(current, editedDocument)
 * change.upserts.length + change.removes.length // number of changed records
 */
export function diffDocument (current: Configuration, document: ConfigurationDocument): ConfigurationChange {
  const target = fromDocument(document, current.version + 1)
  const upserts: Upsert[] = []
  const removes: Remove[] = []
  diffRecords('rack', current.racks, target.racks, record => ({ kind: 'rack', record }), upserts, removes)
  diffRecords('worker', current.workers, target.workers, record => ({ kind: 'worker', record }), upserts, removes)
  diffRecords('organisation', current.organisations, target.organisations,
    record => ({ kind: 'organisation', record }), upserts, removes)
  diffRecords('guarantee', current.guarantees, target.guarantees,
    record => ({ kind: 'guarantee', record }), upserts, removes)
  if (!isSameRecord(current.rules, target.rules)) upserts.push({ kind: 'rules', record: target.rules })
  return { version: current.version + 1, baseVersion: current.version, upserts, removes }
}

function diffRecords<T extends object> (
  kind: RecordKind,
  current: ReadonlyMap<string, T>,
  target: ReadonlyMap<string, T>,
  toUpsert: (record: T) => Upsert,
  upserts: Upsert[],
  removes: Remove[]
): void {
  for (const [id, record] of target) {
    const existing = current.get(id)
    if (existing === undefined || !isSameRecord(existing, record)) upserts.push(toUpsert(record))
  }
  for (const id of current.keys()) {
    if (!target.has(id)) removes.push({ kind, id })
  }
}

/** Compares the fields only one level deep, which is enough because all records are flat. */
function isSameRecord (left: object, right: object): boolean {
  const keys = Object.keys(left)
  if (keys.length !== Object.keys(right).length) return false
  return keys.every(key => Reflect.get(left, key) === Reflect.get(right, key))
}

function sortedById<T> (records: ReadonlyMap<string, T>): T[] {
  return [...records.entries()].sort(([left], [right]) => left < right ? -1 : 1).map(([, record]) => record)
}
