/** The configuration in force and the changes that led to it. */
import {
  applyChange, emptyConfiguration, failure, fromDocument, toDocument,
  type Configuration, type ConfigurationChange, type ConfigurationDocument, type Failure, type Result
} from '@comfreygrade/core'
import { contentDigest, DIGEST_BYTES } from './canonical-json.js'
import type { GuaranteeValidator } from './ports.js'
import type { ControlStateSettings } from './settings.js'

/** Serializable form of the configuration and its history. */
export interface ConfigurationSnapshot {
  readonly version: number
  readonly document: ConfigurationDocument
  readonly recentChanges: readonly ConfigurationChange[]
  /** Digests of the latest versions, 16 bytes each, newest last. */
  readonly digests: Uint8Array
}

/** Result of validating a change: `repeated` means that its version was accepted before with the same content. */
export type ChangeCheck =
  | { readonly kind: 'new', readonly configuration: Configuration }
  | { readonly kind: 'repeated' }
  | { readonly kind: 'refused', readonly failure: Failure }

/** Cached validation result, valid while the base configuration is in force. */
interface CachedCheck {
  readonly change: ConfigurationChange
  readonly base: Configuration
  readonly result: ChangeCheck
}

/** Linear history of accepted configuration changes. */
export class ConfigurationHistory {
  readonly #settings: ControlStateSettings
  readonly #validator: GuaranteeValidator
  readonly #digests: ChangeDigests
  readonly #recentChanges: ConfigurationChange[] = []
  #recentRecordCount = 0
  #lastCheck: CachedCheck | undefined
  #current = emptyConfiguration()

  constructor (settings: ControlStateSettings, validator: GuaranteeValidator) {
    this.#settings = settings
    this.#validator = validator
    this.#digests = new ChangeDigests(settings.maxChangeDigests)
  }

  get current (): Configuration {
    return this.#current
  }

  /**
   * Validates a change without applying it. The last result is cached: a leader validates a change on request and
   * again on commit, and each validation iterates over all workers.
   */
  check (change: ConfigurationChange): ChangeCheck {
    if (this.#lastCheck?.change !== change || this.#lastCheck.base !== this.#current) {
      this.#lastCheck = { change, base: this.#current, result: this.#check(change) }
    }
    return this.#lastCheck.result
  }

  #check (change: ConfigurationChange): ChangeCheck {
    if (change.version <= this.#current.version) return this.#checkAcceptedVersion(change)
    const result = applyChange(this.#current, change)
    if (!result.ok) return { kind: 'refused', failure: result.failure }
    const problem = this.#checkGuarantees(result.value)
    return problem === undefined
      ? { kind: 'new', configuration: result.value }
      : { kind: 'refused', failure: problem }
  }

  /** Applies a change. Idempotent: a known version with the same content succeeds and changes nothing. */
  apply (change: ConfigurationChange): Result<'applied' | 'repeated'> {
    const checked = this.check(change)
    if (checked.kind === 'refused') return { ok: false, failure: checked.failure }
    if (checked.kind === 'repeated') return { ok: true, value: 'repeated' }
    this.#current = checked.configuration
    this.#lastCheck = undefined
    this.#digests.add(change.version, contentDigest(change))
    this.#retainChange(change)
    return { ok: true, value: 'applied' }
  }

  /** Returns the changes after `version`, or undefined if a full copy is needed. */
  changesSince (version: number): ConfigurationChange[] | undefined {
    const missing = this.#current.version - version
    if (missing < 0 || missing > this.#recentChanges.length) return undefined
    return missing === 0 ? [] : this.#recentChanges.slice(-missing)
  }

  snapshot (): ConfigurationSnapshot {
    return {
      version: this.#current.version,
      document: toDocument(this.#current),
      recentChanges: [...this.#recentChanges],
      digests: this.#digests.newest(this.#current.version)
    }
  }

  restore (snapshot: ConfigurationSnapshot): void {
    this.#current = fromDocument(snapshot.document, snapshot.version)
    for (const change of snapshot.recentChanges) this.#retainChange(change)
    this.#digests.restore(snapshot.version, snapshot.digests)
  }

  #checkAcceptedVersion (change: ConfigurationChange): ChangeCheck {
    const digest = this.#digests.get(change.version, this.#current.version)
    if (digest !== undefined && equalBytes(digest, contentDigest(change))) return { kind: 'repeated' }
    const conflict = digest === undefined ? 'cannot be compared because its digest is no longer kept' : 'was accepted with different content'
    return {
      kind: 'refused',
      failure: failure('version_conflict', `version ${change.version} ${conflict}; version ${this.#current.version} is in force`)
    }
  }

  /** Skipped for changes that cannot break a guarantee, because validation iterates over the whole inventory. */
  #checkGuarantees (next: Configuration): Failure | undefined {
    const { workers, guarantees, racks } = this.#current
    const isUnaffected = next.workers === workers && next.guarantees === guarantees && next.racks === racks
    return isUnaffected ? undefined : this.#validator.validate(next)
  }

  #retainChange (change: ConfigurationChange): void {
    const { maxRecentChanges, maxRecentChangeRecords } = this.#settings
    this.#recentChanges.push(change)
    this.#recentRecordCount += recordCount(change)
    let dropped = 0
    while (
      this.#recentChanges.length - dropped > maxRecentChanges || this.#recentRecordCount > maxRecentChangeRecords
    ) {
      const oldest = this.#recentChanges[dropped]
      if (oldest === undefined) break
      this.#recentRecordCount -= recordCount(oldest)
      dropped += 1
    }
    if (dropped > 0) this.#recentChanges.splice(0, dropped)
  }
}

function recordCount (change: ConfigurationChange): number {
  return change.upserts.length + change.removes.length
}

function equalBytes (left: Uint8Array, right: Uint8Array): boolean {
  return left.length === right.length && left.every((byte, index) => byte === right[index])
}

/** Ring buffer with the digests of the latest versions; 65,536 digests take 1 MB. */
class ChangeDigests {
  readonly #capacity: number
  #bytes = new Uint8Array(0)

  constructor (capacity: number) {
    this.#capacity = capacity
  }

  add (version: number, digest: Uint8Array): void {
    const offset = this.#offset(version)
    if (offset >= this.#bytes.length) this.#grow(offset + DIGEST_BYTES)
    this.#bytes.set(digest, offset)
  }

  get (version: number, currentVersion: number): Uint8Array | undefined {
    if (version < 1 || version <= currentVersion - this.#capacity) return undefined
    const offset = this.#offset(version)
    return this.#bytes.slice(offset, offset + DIGEST_BYTES)
  }

  newest (currentVersion: number): Uint8Array {
    const count = Math.min(currentVersion, this.#capacity)
    const newest = new Uint8Array(count * DIGEST_BYTES)
    for (let position = 0; position < count; position += 1) {
      const offset = this.#offset(currentVersion - count + 1 + position)
      newest.set(this.#bytes.subarray(offset, offset + DIGEST_BYTES), position * DIGEST_BYTES)
    }
    return newest
  }

  restore (currentVersion: number, newest: Uint8Array): void {
    const count = newest.length / DIGEST_BYTES
    for (let position = 0; position < count; position += 1) {
      const offset = position * DIGEST_BYTES
      this.add(currentVersion - count + 1 + position, newest.subarray(offset, offset + DIGEST_BYTES))
    }
  }

  #offset (version: number): number {
    return (version % this.#capacity) * DIGEST_BYTES
  }

  #grow (neededBytes: number): void {
    const doubledBytes = Math.min(this.#capacity * DIGEST_BYTES, this.#bytes.length * 2)
    const grown = new Uint8Array(Math.max(neededBytes, doubledBytes))
    grown.set(this.#bytes)
    this.#bytes = grown
  }
}
