/**
 * Claims of non-repeatable requests. At most one request at a time holds the grant for an idempotency key, and a key
 * whose request may have run is never granted to another request.
 */
import { type Failure, failure } from '@comfreygrade/core'
import { Fifo } from './fifo.js'
import { type IdempotencyKey, parseIdempotencyKey } from './idempotency-key.js'
import { done, refuse } from './command-results.js'
import type { CommandResult, ControlCommand } from './commands.js'
import type { ClaimState, ClaimView, RecordedAnswer } from './operations.js'
import type { ControlStateSettings } from './settings.js'

/** Stored claim. Records are immutable, so a snapshot may share them with the live state. */
export interface ClaimRecord extends ClaimView {
  readonly digest: string
  /** Request that holds the grant. It may repeat the claim, and only it may settle the claim. */
  readonly claimantId: string
  readonly claimedLogMs: number
  /** Log index of the last settlement; 0 while pending. Determines the age of a recorded answer. */
  readonly settledIndex: number
}

type ClaimCommand = Extract<ControlCommand, { kind: 'claim_request' }>
type SettleCommand = Extract<ControlCommand, { kind: 'settle_claim' }>

/** Claims that expire within the same bucket are removed together, up to this long after their retention ended. */
const EXPIRY_BUCKET_MS = 10_000

/** All claims within their retention period. */
export class ClaimTable {
  readonly #settings: ControlStateSettings
  readonly #claims = new Map<string, ClaimRecord>()
  readonly #countByOrganisation = new Map<string, number>()
  readonly #expiryBuckets = new Map<number, string[]>()
  readonly #answersByAge = new Fifo<string>()
  #answerBytes = 0
  /** First bucket that is not removed yet; 0 while unset. */
  #nextBucket = 0

  constructor (settings: ControlStateSettings) {
    this.#settings = settings
  }

  get size (): number {
    return this.#claims.size
  }

  /** Total body size of the recorded answers. */
  get answerBytes (): number {
    return this.#answerBytes
  }

  /** Looks up a claim by organisation and key; the key is case-insensitive. */
  get (organisationId: string, key: string): ClaimRecord | undefined {
    return this.#claims.get(claimId(organisationId, key.toLowerCase()))
  }

  /** Returns all claims in the order of their first grant; one that is granted again keeps its position. */
  records (): ClaimRecord[] {
    return [...this.#claims.values()]
  }

  /** Returns why a key cannot be claimed at `logTimeMs`, or undefined if it can. */
  checkKey (text: string, logTimeMs: number): Failure | undefined {
    const key = parseIdempotencyKey(text)
    return key === undefined
      ? failure('key_invalid', invalidKeyMessage(text))
      : this.#checkAge(key, logTimeMs)
  }

  /**
   * Grants a new claim, grants an existing one again, or returns the existing one with `granted: false`. A pending
   * claim is granted again to its own claimant, which did not receive the first answer. A claim settled as `not_run`
   * is granted again to any request: its caller was told to repeat the request, and no earlier dispatch can be in
   * progress.
   */
  claim (command: ClaimCommand, logTimeMs: number, maxDeadlineMs: number): CommandResult {
    const key = parseIdempotencyKey(command.key)
    if (key === undefined) return refuse('key_invalid', invalidKeyMessage(command.key))
    const existing = this.#claims.get(claimId(command.organisationId, key.text))
    if (existing !== undefined && existing.digest !== command.digest) return refuseReusedKey(existing)
    if (existing !== undefined && !isGrantable(existing, command.claimantId)) {
      return { kind: 'claimed', granted: false, claim: toClaimView(existing, logTimeMs, maxDeadlineMs) }
    }
    const problem = this.#checkAge(key, logTimeMs) ??
      (existing === undefined ? this.#checkLimits(command.organisationId) : undefined)
    if (problem !== undefined) return { kind: 'refused', failure: problem }
    const record: ClaimRecord = {
      organisationId: command.organisationId,
      key: key.text,
      digest: command.digest,
      claimantId: command.claimantId,
      state: 'pending',
      answer: null,
      claimedLogMs: logTimeMs,
      settledIndex: 0
    }
    // An existing claim keeps its expiry bucket, although `restore` derives a bucket from the new `claimedLogMs`. The
    // key is refused as expired before either bucket is removed.
    if (existing === undefined) this.#add(record, key.issuedMs)
    else this.#claims.set(claimId(record.organisationId, record.key), record)
    return { kind: 'claimed', granted: true, claim: toClaimView(record, logTimeMs, maxDeadlineMs) }
  }

  /** Records the outcome of a claim. `unknown` may be replaced later; `completed` and `not_run` are final. */
  settle (command: SettleCommand, index: number): CommandResult {
    const record = this.get(command.organisationId, command.key)
    if (record === undefined) return refuse('not_found', `claim ${command.key} does not exist`)
    if (record.claimantId !== command.claimantId) {
      return refuse('invalid_request', `claim ${record.key} is held by another request`)
    }
    if (record.state === command.state || (isFinal(record.state) && command.state === 'unknown')) return done
    if (isFinal(record.state)) {
      return refuse('invalid_request', `claim ${record.key} is settled as ${record.state}, not ${command.state}`)
    }
    const answer = command.state === 'completed' ? this.#answerWithinLimit(command.answer) : null
    const settled: ClaimRecord = { ...record, state: command.state, answer, settledIndex: index }
    this.#claims.set(claimId(record.organisationId, record.key), settled)
    if (answer !== null) this.#trackAnswer(settled, answer)
    return done
  }

  /** Removes every claim whose retention period ended. Amortised cost is constant per claim. */
  removeExpired (logTimeMs: number): void {
    const endBucket = Math.floor(logTimeMs / EXPIRY_BUCKET_MS)
    if (this.#expiryBuckets.size === 0) this.#nextBucket = endBucket
    for (; this.#nextBucket < endBucket; this.#nextBucket += 1) this.#removeBucket(this.#nextBucket)
  }

  /** Restores the records of a snapshot, in the order of `records`. */
  restore (records: readonly ClaimRecord[]): void {
    for (const record of records) {
      const key = parseIdempotencyKey(record.key)
      if (key === undefined) throw new Error(`snapshot contains the invalid idempotency key ${record.key}`)
      this.#add(record, key.issuedMs)
    }
    const answered = records.filter(record => record.answer !== null)
    for (const record of answered.sort((left, right) => left.settledIndex - right.settledIndex)) {
      if (record.answer !== null) this.#trackAnswer(record, record.answer)
    }
  }

  #checkAge (key: IdempotencyKey, logTimeMs: number): Failure | undefined {
    const { claimRetentionMs, claimMaxAheadMs } = this.#settings
    // From this time on the claim may have been removed, so the key must never be granted again.
    if (key.issuedMs + claimRetentionMs <= logTimeMs) {
      return failure('key_expired', `idempotency key ${key.text} is ${logTimeMs - key.issuedMs} ms old, it must be less than ${claimRetentionMs} ms old`)
    }
    if (key.issuedMs > logTimeMs + claimMaxAheadMs) {
      return failure('key_invalid', `idempotency key ${key.text} was issued ${key.issuedMs - logTimeMs} ms in the future, at most ${claimMaxAheadMs} ms are allowed`)
    }
    return undefined
  }

  #checkLimits (organisationId: string): Failure | undefined {
    const { maxClaims, maxClaimsPerOrganisation } = this.#settings
    const count = this.#countByOrganisation.get(organisationId) ?? 0
    if (count >= maxClaimsPerOrganisation) {
      return failure('quota_exceeded', `organisation ${organisationId} has ${count} claims, at most ${maxClaimsPerOrganisation} are allowed`)
    }
    if (this.#claims.size >= maxClaims) {
      // Here the kind means that a limit shared by all organisations is reached; no queue is involved.
      return failure('queue_full', `${this.#claims.size} claims are stored, at most ${maxClaims} are allowed`)
    }
    return undefined
  }

  #add (record: ClaimRecord, issuedMs: number): void {
    const id = claimId(record.organisationId, record.key)
    this.#claims.set(id, record)
    this.#adjustCount(record.organisationId, 1)
    const expiresMs = Math.max(record.claimedLogMs, issuedMs) + this.#settings.claimRetentionMs
    const bucket = Math.floor(expiresMs / EXPIRY_BUCKET_MS)
    const bucketIds = this.#expiryBuckets.get(bucket)
    if (bucketIds === undefined) this.#expiryBuckets.set(bucket, [id])
    else bucketIds.push(id)
    this.#nextBucket = Math.min(this.#nextBucket === 0 ? bucket : this.#nextBucket, bucket)
  }

  #removeBucket (bucket: number): void {
    const expiredIds = this.#expiryBuckets.get(bucket)
    if (expiredIds === undefined) return
    this.#expiryBuckets.delete(bucket)
    for (const id of expiredIds) this.#remove(id)
  }

  #remove (id: string): void {
    const record = this.#claims.get(id)
    if (record === undefined) return
    this.#claims.delete(id)
    this.#adjustCount(record.organisationId, -1)
    if (record.answer !== null) this.#answerBytes -= record.answer.body.length
  }

  #adjustCount (organisationId: string, change: number): void {
    const count = (this.#countByOrganisation.get(organisationId) ?? 0) + change
    if (count === 0) this.#countByOrganisation.delete(organisationId)
    else this.#countByOrganisation.set(organisationId, count)
  }

  #answerWithinLimit (answer: RecordedAnswer | null): RecordedAnswer | null {
    return answer !== null && answer.body.length <= this.#settings.claimAnswerMaxBytes ? answer : null
  }

  #trackAnswer (record: ClaimRecord, answer: RecordedAnswer): void {
    this.#answerBytes += answer.body.length
    this.#answersByAge.push(claimId(record.organisationId, record.key))
    this.#evictOldAnswers()
  }

  /** Evicts the oldest answers above the total limit, and queue entries whose claim was already removed. */
  #evictOldAnswers (): void {
    for (let id = this.#answersByAge.peek(); id !== undefined; id = this.#answersByAge.peek()) {
      const record = this.#claims.get(id)
      const answer = record?.answer ?? null
      if (answer !== null && this.#answerBytes <= this.#settings.claimAnswersTotalMaxBytes) return
      this.#answersByAge.shift()
      if (record === undefined || answer === null) continue
      this.#claims.set(id, { ...record, answer: null })
      this.#answerBytes -= answer.body.length
    }
  }
}

/**
 * Converts a claim to the view that callers get. A claim that is still pending after the maximum request deadline is
 * shown as `unknown`: the entry VM that could have settled it has failed.
 *
 * @example
 * toClaimView(record, record.claimedLogMs + 120_001, 120_000).state // 'unknown' for a pending claim
 */
export function toClaimView (record: ClaimRecord, logTimeMs: number, maxDeadlineMs: number): ClaimView {
  const { organisationId, key, answer } = record
  const isAbandoned = record.state === 'pending' && logTimeMs > record.claimedLogMs + maxDeadlineMs
  return { organisationId, key, state: isAbandoned ? 'unknown' : record.state, answer }
}

function claimId (organisationId: string, key: string): string {
  return `${organisationId}/${key}`
}

function invalidKeyMessage (text: string): string {
  return `idempotency key ${text} is not a UUID of version 7`
}

function isFinal (state: ClaimState): boolean {
  return state === 'completed' || state === 'not_run'
}

/**
 * Returns whether an existing claim may be granted again: to the claimant itself, which did not receive the answer to
 * its grant, or to any request after a settlement as `not_run`.
 *
 * @example
 * isGrantable(record, 'request-7') // true while request-7 holds the pending claim
 */
export function isGrantable ({ state, claimantId }: ClaimRecord, requesterId: string): boolean {
  return state === 'not_run' || (state === 'pending' && claimantId === requesterId)
}

function refuseReusedKey (existing: ClaimRecord): CommandResult {
  return refuse('key_reused', `idempotency key ${existing.key} was already used for a request with different content`)
}
