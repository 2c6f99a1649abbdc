import test from 'ava'
import type { BackendServerRecord } from '@comfreygrade/core'
import { BackendRegistry } from '../src/index.js'

function record (overrides: Partial<BackendServerRecord> = {}): BackendServerRecord {
  return {
    backendServerId: 'b1',
    incarnation: 1,
    sequence: 1,
    address: 'http://127.0.0.1:1',
    region: 'salto',
    availabilityZone: 'salto-a',
    services: ['print'],
    slots: 8,
    connections: 60,
    state: 'active',
    ...overrides
  }
}

test('a delayed heartbeat of an older incarnation or sequence does not replace a newer record', t => {
  const registry = new BackendRegistry(1_000)
  registry.announce(record({ incarnation: 2, sequence: 5, slots: 4 }), 0)
  t.false(registry.announce(record({ incarnation: 1, sequence: 9 }), 1))
  t.false(registry.announce(record({ incarnation: 2, sequence: 4 }), 1))
  t.is(registry.servingRecords('print', 1)[0]?.slots, 4)
})

test('a leaving server gets no new requests until it restarts, even if heartbeats arrive out of order', t => {
  const registry = new BackendRegistry(1_000)
  registry.announce(record({ sequence: 3 }), 0)
  t.true(registry.announce(record({ sequence: 2, state: 'leaving' }), 1))
  registry.announce(record({ sequence: 4 }), 2)
  t.deepEqual(registry.servingRecords('print', 2), [])
  registry.announce(record({ incarnation: 2, sequence: 1 }), 3)
  t.is(registry.servingRecords('print', 3).length, 1)
})

test('a record relayed by a peer expires by the age the peer stated, so that relaying does not keep a dead server active', t => {
  const registry = new BackendRegistry(1_000)
  registry.announce(record(), 5_000, 900)
  t.is(registry.servingRecords('print', 5_099).length, 1)
  t.deepEqual(registry.servingRecords('print', 5_100), [])
  t.false(registry.announce(record({ sequence: 2 }), 5_100, 1_000))
  t.is(registry.allRecords(5_100)[0]?.state, 'expired')
})

test('batches for peers contain each change once with its age, so that peers miss no record and expire it in time', t => {
  const registry = new BackendRegistry(1_000)
  for (const id of ['b1', 'b2', 'b3']) registry.announce(record({ backendServerId: id }), 100)
  const first = registry.changedSince(0, 150, 2)
  const second = registry.changedSince(first.version, 150, 2)
  t.deepEqual([...first.records, ...second.records].map(each => [each.record.backendServerId, each.ageMs]),
    [['b1', 50], ['b2', 50], ['b3', 50]])
  t.deepEqual(registry.changedSince(second.version, 150).records, [])
  registry.announce(record({ backendServerId: 'b2', sequence: 2 }), 200)
  t.is(registry.changedSince(second.version, 200).records.length, 1)
})

test('a draining server gets no new requests until the drain is cancelled', t => {
  const registry = new BackendRegistry(1_000)
  registry.setDraining(new Set(['b1']))
  registry.announce(record(), 0)
  t.deepEqual(registry.servingRecords('print', 0), [])
  registry.setDraining(new Set())
  t.is(registry.servingRecords('print', 0).length, 1)
})
