import test from 'ava'
import { emptyConfiguration, ManualClock, NullEventLog, toDocument, type ConfigurationChange } from '@comfreygrade/core'
import { ConfigurationReplica } from '../src/configuration-replica.js'
import { NodeLeases } from '../src/node-leases.js'
import type { PeerMessage } from '../src/peer-messages.js'

type Feed = Extract<PeerMessage, { kind: 'feed' }>

function change (version: number): ConfigurationChange {
  const record = { organisationId: `o${version}`, quotaAccelerators: 1, weight: 1 }
  return { version, baseVersion: version - 1, upserts: [{ kind: 'organisation', record }], removes: [] }
}

function feed (baseVersion: number, versions: number[], fields: Partial<Feed> = {}): Feed {
  return {
    kind: 'feed',
    term: 1,
    leaderNodeId: 'n1',
    content: { kind: 'changes', baseVersion, changes: versions.map(change) },
    drains: [],
    requestSentAtMs: 0,
    leaseMs: 5000,
    ...fields
  }
}

function fullFeed (version: number, fields: Partial<Feed> = {}): Feed {
  const content = { kind: 'full' as const, version, document: toDocument(emptyConfiguration()) }
  return feed(0, [], { content, ...fields })
}

test('a late feed never takes a node back to an older version', t => {
  const replica = new ConfigurationReplica(new ManualClock(), new NullEventLog())
  replica.receive(feed(0, [1, 2, 3]))
  replica.receive(feed(0, [1]))
  replica.receive(fullFeed(2))
  t.is(replica.configuration.version, 3)
})

test('a feed of an older term is ignored, so that a leader that was cut off does not renew leases', t => {
  const clock = new ManualClock(1000)
  const replica = new ConfigurationReplica(clock, new NullEventLog())
  replica.receive(feed(0, [1], { term: 2, requestSentAtMs: null }))
  replica.receive(feed(1, [], { term: 1, requestSentAtMs: 1000, leaderNodeId: 'n9' }))
  t.false(replica.hasLease)
  t.is(replica.leaderNodeId, 'n1')
})

test('changes that do not follow the copy give no lease, so that a gap is never served', t => {
  const replica = new ConfigurationReplica(new ManualClock(), new NullEventLog())
  replica.receive(feed(4, [5]))
  t.is(replica.configuration.version, 0)
  t.false(replica.hasLease)
})

test('the lease counts from when the node asked, so that a delayed answer does not lengthen it', t => {
  const clock = new ManualClock(0)
  const replica = new ConfigurationReplica(clock, new NullEventLog())
  clock.advance(4000)
  replica.receive(feed(0, [1], { requestSentAtMs: 0 }))
  t.true(replica.hasLease)
  clock.advance(1000)
  t.false(replica.hasLease)
})

test('a change counts as in force only when every node holds it or has lost its lease', t => {
  const leases = new NodeLeases(['n1', 'n2'], 5000)
  leases.restart(0)
  leases.renew('n1', 7, 6, 100)
  leases.renew('n2', 6, 6, 100)
  t.false(leases.status(7, 200).isInForceEverywhere)
  t.true(leases.status(7, 5200).isInForceEverywhere)
  leases.renew('n2', 7, 7, 300)
  t.true(leases.status(7, 400).isInForceEverywhere)
})

test('a new leader waits for the leases of the former one', t => {
  const leases = new NodeLeases(['n1'], 5000)
  leases.renew('n1', 3, 3, 0)
  leases.restart(1000)
  t.false(leases.status(3, 5900).isInForceEverywhere)
  t.true(leases.status(3, 6100).isInForceEverywhere)
})

test('a node that can send but not receive does not keep a change from being in force', t => {
  const leases = new NodeLeases(['n1'], 5000)
  leases.restart(0)
  leases.renew('n1', 6, 6, 100)
  // The change to version 7 is accepted here; the node goes on to ask with what it holds.
  for (let nowMs = 600; nowMs <= 4600; nowMs += 500) leases.renew('n1', 6, 7, nowMs)
  t.false(leases.status(7, 5100).isInForceEverywhere)
  t.true(leases.status(7, 5200).isInForceEverywhere)
})
