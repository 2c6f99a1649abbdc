import { randomBytes } from 'node:crypto'

/**
 * Generates a UUID of version 7 (RFC 9562): a 48-bit Unix timestamp in milliseconds, then random bits.
 *
 * @example
 * uuidV7(Date.now()) // '0193a5e0-…-7…-…'
 */
export function uuidV7 (unixTimeMs: number): string {
  const bytes = randomBytes(16)
  bytes.writeUIntBE(unixTimeMs, 0, 6)
  bytes.writeUInt8((bytes.readUInt8(6) & 0x0f) | 0x70, 6)
  bytes.writeUInt8((bytes.readUInt8(8) & 0x3f) | 0x80, 8)
  const hex = bytes.toString('hex')
  return [hex.slice(0, 8), hex.slice(8, 12), hex.slice(12, 16), hex.slice(16, 20), hex.slice(20)].join('-')
}
