/** Idempotency keys: UUIDs of version 7 (RFC 9562), which contain their time of issue. */

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/

/** Valid key, normalised to lower case because UUIDs are case-insensitive. */
export interface IdempotencyKey {
  readonly text: string
  /** Unix time in milliseconds from the first 48 bits. */
  readonly issuedMs: number
}

/**
 * Parses a key. Returns undefined unless it is a UUID with the version and variant bits of version 7.
 *
 * @example
 * parseIdempotencyKey('017F22E2-79B0-7CC3-98C4-DC0C0C07398F')?.issuedMs // 1645557742000
 */
export function parseIdempotencyKey (text: string): IdempotencyKey | undefined {
  const lowerCase = text.toLowerCase()
  if (!UUID_V7.test(lowerCase)) return undefined
  const issuedMs = Number.parseInt(lowerCase.slice(0, 8) + lowerCase.slice(9, 13), 16)
  return { text: lowerCase, issuedMs }
}
