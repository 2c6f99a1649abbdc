/**
 * Record format of the log files.
 *
 * A record holds one batch of writes: a header and a CBOR body. The header has three big-endian 32-bit numbers: the
 * length of the body, the CRC-32 of the body, and the CRC-32 of these two fields. The latter distinguishes a damaged
 * length from a torn write.
 */
import { crc32 } from 'node:zlib'
import type { HardState, LogEntry } from '@comfreygrade/consensus'
import { decode, encode } from 'cbor-x'
import { FileLogError } from './log-files.js'

const HEADER_BYTES = 12
const CHECKED_HEADER_BYTES = 8

/** Body of a record. */
export interface RecordBody<Command> {
  readonly hardState?: HardState
  /** All earlier entries are dropped; the log continues after the snapshot at this index. */
  readonly resetToIndex?: number
  /** Each entry truncates the log from its index on before it is appended. */
  readonly entries: ReadonlyArray<LogEntry<Command>>
}

/** Encodes a value as one record; `path` is the file that it is for. */
export function encodeRecord (value: unknown, path: string): Uint8Array {
  const body = encodeBody(value, path)
  const record = Buffer.alloc(HEADER_BYTES + body.byteLength)
  record.writeUInt32BE(body.byteLength, 0)
  record.writeUInt32BE(crc32(body), 4)
  record.writeUInt32BE(crc32(record.subarray(0, CHECKED_HEADER_BYTES)), CHECKED_HEADER_BYTES)
  record.set(body, HEADER_BYTES)
  return record
}

function encodeBody (value: unknown, path: string): Uint8Array {
  try {
    return encode(value)
  } catch (cause) {
    throw new FileLogError('not_encodable', path, 0, cause)
  }
}

/** Result of checking a record; `torn` if it is incomplete or invalid and no other record follows. */
type RecordCheck = { readonly kind: 'valid', readonly endOffset: number } | { readonly kind: 'torn' | 'damaged' }

function checkRecord (bytes: Buffer, offset: number): RecordCheck {
  if (bytes.byteLength - offset < HEADER_BYTES) return { kind: 'torn' }
  if (!isHeaderValid(bytes, offset)) return { kind: hasRecordAfter(bytes, offset) ? 'damaged' : 'torn' }
  const endOffset = offset + HEADER_BYTES + bytes.readUInt32BE(offset)
  if (endOffset > bytes.byteLength) return { kind: 'torn' }
  const isBodyValid = crc32(bytes.subarray(offset + HEADER_BYTES, endOffset)) === bytes.readUInt32BE(offset + 4)
  if (isBodyValid) return { kind: 'valid', endOffset }
  // A record is written only after the previous one is synced, so bytes after a record prove that it was complete.
  return { kind: endOffset === bytes.byteLength ? 'torn' : 'damaged' }
}

function isHeaderValid (bytes: Buffer, offset: number): boolean {
  const checkOffset = offset + CHECKED_HEADER_BYTES
  return crc32(bytes.subarray(offset, checkOffset)) === bytes.readUInt32BE(checkOffset)
}

function hasRecordAfter (bytes: Buffer, offset: number): boolean {
  for (let start = offset + 1; start + HEADER_BYTES <= bytes.byteLength; start++) {
    const fits = start + HEADER_BYTES + bytes.readUInt32BE(start) <= bytes.byteLength
    if (fits && isHeaderValid(bytes, start)) return true
  }
  return false
}

/** Records of a file and the length of its valid part. */
export interface ReadRecords<T> {
  readonly bodies: T[]
  readonly validBytes: number
  readonly isTorn: boolean
}

/** Reads all records of a file; only the last file of the log may end with a torn record. */
export function readRecords<T> (content: Uint8Array, path: string, isLastFile: boolean): ReadRecords<T> {
  const bytes = Buffer.from(content.buffer, content.byteOffset, content.byteLength)
  const bodies: T[] = []
  let offset = 0
  while (offset < bytes.byteLength) {
    const check = checkRecord(bytes, offset)
    if (check.kind === 'torn' && isLastFile) return { bodies, validBytes: offset, isTorn: true }
    if (check.kind !== 'valid') throw new FileLogError('damaged_record', path, offset)
    bodies.push(decodeBody<T>(bytes.subarray(offset + HEADER_BYTES, check.endOffset), path, offset))
    offset = check.endOffset
  }
  return { bodies, validBytes: offset, isTorn: false }
}

/** The checksum of the record is right, so a body that cannot be decoded was written that way. */
function decodeBody<T> (body: Uint8Array, path: string, offset: number): T {
  try {
    return decode(body)
  } catch (cause) {
    throw new FileLogError('damaged_record', path, offset, cause)
  }
}
