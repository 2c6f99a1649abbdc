/** Canonical JSON and content digests, independent of the order of object fields. */
import { createHash } from 'node:crypto'

/**
 * Serializes a value to JSON with object keys sorted; undefined fields are omitted.
 *
 * @example
 * canonicalJson({ b: 1, a: 2 }) // '{"a":2,"b":1}'
 */
export function canonicalJson (value: unknown): string {
  return JSON.stringify(value, (_key, nested: unknown) => isPlainObject(nested) ? sortFields(nested) : nested)
}

/** Length of the digests returned by `contentDigest`: SHA-256 truncated to 128 bits. */
export const DIGEST_BYTES = 16

/**
 * Computes the digest of the canonical JSON of a value.
 *
 * @example
 * contentDigest({ a: 1 }).length // 16
 */
export function contentDigest (value: unknown): Uint8Array {
  return createHash('sha256').update(canonicalJson(value)).digest().subarray(0, DIGEST_BYTES)
}

function isPlainObject (value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function sortFields (value: object): object {
  const fields = Object.entries(value)
  return Object.fromEntries(fields.sort(([left], [right]) => left < right ? -1 : 1))
}
