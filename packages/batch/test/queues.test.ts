import test from 'ava'
import { QueueDirectory, validateDocument } from '../src/index.js'
import { document, HOST, queue } from './sample-data.js'

function reasonOf (fields: Partial<ReturnType<typeof document>>): string {
  const result = validateDocument({ ...document(), ...fields })
  return result.ok ? 'valid' : result.failure.detail
}

test('the longest prefix of a path selects the queue', t => {
  const directory = new QueueDirectory(document(1, [queue({ name: 'a', pathPrefix: '/a/' }), queue({ name: 'ab', pathPrefix: '/a/b/' })]))
  t.is(directory.match(HOST, '/a/b/1')?.name, 'ab')
  t.is(directory.match(HOST, '/a/c')?.name, 'a')
  t.is(directory.match('other.example', '/a/c'), undefined)
})

test('a queue of an unknown service is named in the refusal', t => {
  t.is(reasonOf({ queues: [queue({ service: 'none' })] }), 'queue normal names the unknown service none')
})

test('two queues with one address are refused', t => {
  t.is(reasonOf({ queues: [queue(), queue({ name: 'twin' })] }), `two queues share the address ${HOST}/normal/`)
})

test('a key of two organisations is refused', t => {
  const organisation = { name: 'org-a', apiKeys: ['k'], guaranteedAccelerators: 0 }
  t.is(reasonOf({ organisations: [organisation, { ...organisation, name: 'org-b' }] }), 'organisations org-a and org-b share a key')
})
