/**
 * Format of the records of a log.
 *
 * A record is one batch of writes. Its header holds, as big-endian 32-bit numbers, the length of the body, the CRC-32
 * of the body and the CRC-32 of those two, so that a damaged length is not taken for a torn end. The body is CBOR.
 */
import { crc32 } from 'node:zlib'
import type { HardState, LogEntry } from '@comfreygrade/consensus'
import { decode, encode } from 'cbor-x'
import { FileLogError } from './log-files.js'

const headerBytes = 12
const checkedHeaderBytes = 8

/** Body of a record: one batch. */
export interface RecordBody<Command> {
  readonly hardState?: HardState
  /** The log before this record is replaced by the snapshot at this index. */
  readonly resetToIndex?: number
  /** Each entry replaces everything from its index on. */
  readonly entries: ReadonlyArray<LogEntry<Command>>
}

/** Gives the bytes of one record. */
export function encodeRecord (value: unknown): Uint8Array {
  const body = encode(value)
  const record = Buffer.alloc(headerBytes + body.byteLength)
  record.writeUInt32BE(body.byteLength, 0)
  record.writeUInt32BE(crc32(body), 4)
  record.writeUInt32BE(crc32(record.subarray(0, checkedHeaderBytes)), checkedHeaderBytes)
  record.set(body, headerBytes)
  return record
}

/** Whether a record can be read at an offset; `torn` where its end is missing or wrong at the end of the file. */
type RecordCheck = { readonly kind: 'valid', readonly endOffset: number } | { readonly kind: 'torn' | 'damaged' }

function checkRecord (bytes: Buffer, offset: number): RecordCheck {
  if (bytes.byteLength - offset < headerBytes) return { kind: 'torn' }
  if (!isHeaderValid(bytes, offset)) return { kind: hasRecordAfter(bytes, offset) ? 'damaged' : 'torn' }
  const endOffset = offset + headerBytes + bytes.readUInt32BE(offset)
  if (endOffset > bytes.byteLength) return { kind: 'torn' }
  const isBodyValid = crc32(bytes.subarray(offset + headerBytes, endOffset)) === bytes.readUInt32BE(offset + 4)
  if (isBodyValid) return { kind: 'valid', endOffset }
  // A batch is written only after the one before is synced, so bytes behind a record prove that it was complete.
  return { kind: endOffset === bytes.byteLength ? 'torn' : 'damaged' }
}

function isHeaderValid (bytes: Buffer, offset: number): boolean {
  const checkOffset = offset + checkedHeaderBytes
  return crc32(bytes.subarray(offset, checkOffset)) === bytes.readUInt32BE(checkOffset)
}

function hasRecordAfter (bytes: Buffer, offset: number): boolean {
  for (let start = offset + 1; start + headerBytes <= bytes.byteLength; start++) {
    const fits = start + headerBytes + bytes.readUInt32BE(start) <= bytes.byteLength
    if (fits && isHeaderValid(bytes, start)) return true
  }
  return false
}

/** Records of a file and where the valid part ends. */
export interface ReadRecords<T> {
  readonly bodies: T[]
  readonly validBytes: number
  readonly isTorn: boolean
}

/** Reads all records of a file; only the last file of the log may end torn. */
export function readRecords<T> (content: Uint8Array, path: string, isLastFile: boolean): ReadRecords<T> {
  const bytes = Buffer.from(content.buffer, content.byteOffset, content.byteLength)
  const bodies: T[] = []
  let offset = 0
  while (offset < bytes.byteLength) {
    const check = checkRecord(bytes, offset)
    if (check.kind === 'torn' && isLastFile) return { bodies, validBytes: offset, isTorn: true }
    if (check.kind !== 'valid') throw new FileLogError('damaged_record', path, offset)
    bodies.push(decode(bytes.subarray(offset + headerBytes, check.endOffset)))
    offset = check.endOffset
  }
  return { bodies, validBytes: offset, isTorn: false }
}
