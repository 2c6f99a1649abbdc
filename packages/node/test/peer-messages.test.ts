import { createHash } from 'node:crypto'
import test from 'ava'
import { Encoder } from 'cbor-x'
import { encodeFrame, FrameDecoder, MAX_FRAME_BYTES, NUMBERED_FIELDS, type PeerMessage } from '../src/peer-messages.js'

const formats = ['named', 'numbered'] as const
const messages: PeerMessage[] = [
  { kind: 'ping' },
  { kind: 'feed_request', version: 7, sentAtMs: 12.5 },
  { kind: 'control_request', requestId: 'a', operation: { kind: 'get_job', jobId: 'j1' } }
]

test('frames that TCP splits at any byte are decoded completely and in order', t => {
  for (const format of formats) {
    const bytes = Buffer.concat(messages.map(message => encodeFrame(message, format)))
    for (let split = 0; split <= bytes.length; split++) {
      const decoder = new FrameDecoder()
      const decoded = [...decoder.push(bytes.subarray(0, split)), ...decoder.push(bytes.subarray(split))]
      t.deepEqual(decoded, messages)
    }
  }
})

test('frames that arrive byte by byte are decoded completely and in order', t => {
  for (const format of formats) {
    const bytes = Buffer.concat(messages.map(message => encodeFrame(message, format)))
    const decoder = new FrameDecoder()
    const decoded = [...bytes].flatMap(byte => decoder.push(Buffer.from([byte])))
    t.deepEqual(decoded, messages)
  }
})

test('a frame length above the limit is rejected before memory is allocated for the frame', t => {
  const header = Buffer.alloc(4)
  header.writeUInt32BE(MAX_FRAME_BYTES + 1)
  t.throws(() => new FrameDecoder().push(header), { instanceOf: RangeError })
})

test('a value without a kind is malformed, so that no handler reads the kind of null or of a number', t => {
  for (const value of [null, 7, 'ping', [], {}, { kind: 7 }]) {
    const body = new Encoder({ useRecords: false, mapsAsObjects: true }).encode(value)
    const header = Buffer.alloc(4)
    header.writeUInt32BE(body.length)
    t.throws(() => new FrameDecoder().push(Buffer.concat([header, body])), { instanceOf: TypeError })
  }
})

test('keys chosen by callers are unchanged in numbered frames, even if they look like field numbers', t => {
  const result = { ok: true, value: { kind: 'other', 0: 'a', 5: { kind: 'b', unlisted: [{ term: null, 12: 'c' }] }, '07': 1 } }
  const message = { kind: 'control_response', requestId: '3', result } as unknown as PeerMessage
  t.deepEqual(new FrameDecoder().push(encodeFrame(message, 'numbered')), [message])
})

test('a frame with all field names as text, as older versions send it, is decoded', t => {
  const body = new Encoder({ useRecords: false, mapsAsObjects: true }).encode(messages[2])
  const header = Buffer.alloc(4)
  header.writeUInt32BE(body.length)
  t.deepEqual(new FrameDecoder().push(Buffer.concat([header, body])), [messages[2]])
})

test('the first 71 field numbers never change, so that nodes of different versions decode the same fields', t => {
  t.is(new Set(NUMBERED_FIELDS).size, NUMBERED_FIELDS.length)
  // The list had 71 names when the hash was taken; later names may be appended.
  const publishedNames = NUMBERED_FIELDS.slice(0, 71).join(' ')
  t.is(createHash('sha256').update(publishedNames).digest('hex'), '7ead3284b5f8b478f455d32db87f5c232ef3ba7f45e7f7f2a1ef34cb91f5ae5e')
})
