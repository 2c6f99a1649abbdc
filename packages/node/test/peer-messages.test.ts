import test from 'ava'
import { encodeFrame, FrameDecoder, MAX_FRAME_BYTES, type PeerMessage } from '../src/peer-messages.js'

const messages: PeerMessage[] = [
  { kind: 'ping' },
  { kind: 'feed_request', version: 7, sentAtMs: 12.5 },
  { kind: 'control_request', requestId: 'a', operation: { kind: 'get_job', jobId: 'j1' } }
]

test('frames split at any byte are decoded whole and in order, as TCP may split them anywhere', t => {
  const bytes = Buffer.concat(messages.map(encodeFrame))
  for (let split = 0; split <= bytes.length; split++) {
    const decoder = new FrameDecoder()
    const decoded = [...decoder.push(bytes.subarray(0, split)), ...decoder.push(bytes.subarray(split))]
    t.deepEqual(decoded, messages)
  }
})

test('frames that arrive byte by byte are decoded', t => {
  const bytes = Buffer.concat(messages.map(encodeFrame))
  const decoder = new FrameDecoder()
  const decoded = [...bytes].flatMap(byte => decoder.push(Buffer.from([byte])))
  t.deepEqual(decoded, messages)
})

test('a length above the limit is refused before any memory is set aside for it', t => {
  const header = Buffer.alloc(4)
  header.writeUInt32BE(MAX_FRAME_BYTES + 1)
  t.throws(() => new FrameDecoder().push(header), { instanceOf: RangeError })
})
