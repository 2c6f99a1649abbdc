import test from 'ava'
import { QueueDirectory, validateDocument } from '../src/index.js'
import { document, HOST, queue } from './sample-data.js'

function validationResult (fields: Partial<ReturnType<typeof document>>): string {
  const result = validateDocument({ ...document(), ...fields })
  return result.ok ? 'valid' : result.failure.detail
}

test('the longest matching path prefix selects the queue', t => {
  const directory = new QueueDirectory(document(1, [queue({ name: 'a', pathPrefix: '/a/' }), queue({ name: 'ab', pathPrefix: '/a/b/' })]))
  t.is(directory.match(HOST, '/a/b/1')?.name, 'ab')
  t.is(directory.match(HOST, '/a/c')?.name, 'a')
  t.is(directory.match('other.example', '/a/c'), undefined)
})

test('a document with a queue of an unknown service is refused, naming the queue and the service', t => {
  t.is(validationResult({ queues: [queue({ service: 'none' })] }), 'queue normal names the unknown service none')
})

test('a document with two queues at the same address is refused', t => {
  t.is(validationResult({ queues: [queue(), queue({ name: 'twin' })] }), `two queues share the address ${HOST}/normal/`)
})

test('a document with an API key of two organisations is refused', t => {
  const organisation = { name: 'org-a', apiKeys: ['k'], guaranteedAccelerators: 0 }
  t.is(validationResult({ organisations: [organisation, { ...organisation, name: 'org-b' }] }), 'organisations org-a and org-b share a key')
})
