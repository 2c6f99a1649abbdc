/** Records of the log that cannot be encoded or decoded, though nothing is wrong with the disk. */
import { crc32 } from 'node:zlib'
import test from 'ava'
import { FileLogError } from '../src/log-files.js'
import { encodeRecord, readRecords } from '../src/log-records.js'

const PATH = '/data/segment-1.log'

/** A record with a sound header and this body. */
function recordOf (body: Uint8Array): Buffer {
  const header = Buffer.alloc(12)
  header.writeUInt32BE(body.byteLength, 0)
  header.writeUInt32BE(crc32(body), 4)
  header.writeUInt32BE(crc32(header.subarray(0, 8)), 8)
  return Buffer.concat([header, body])
}

// Guards against a fault of the caller that is reported, and handled, as a failure of the disk.
test('a value that cannot be encoded is not reported as a failed write', t => {
  const error = t.throws(() => encodeRecord({ entries: [{ reason: Object }] }, PATH), { instanceOf: FileLogError })
  t.like(error, { kind: 'not_encodable', path: PATH })
})

// Guards against a start that fails without naming the record, since the checksum of the record is right.
test('a record whose body cannot be decoded is named by its file and its position', t => {
  const sound = Buffer.from(encodeRecord({ entries: [] }, PATH))
  // An array of 2 ** 32 - 1 elements that are missing.
  const damaged = recordOf(Buffer.from([0x9a, 0xff, 0xff, 0xff, 0xff]))
  const content = Buffer.concat([sound, damaged, sound])
  const error = t.throws(() => readRecords(content, PATH, false), { instanceOf: FileLogError })
  t.like(error, { kind: 'damaged_record', path: PATH, offset: sound.byteLength })
})
