import test from 'ava'
import { emptyConfiguration, ManualClock, NullEventLog, toDocument, type ConfigurationChange } from '@comfreygrade/core'
import { ConfigurationCopy } from '../src/configuration-copy.js'
import { NodeLeases } from '../src/node-leases.js'
import type { PeerMessage } from '../src/peer-messages.js'

type Feed = Extract<PeerMessage, { kind: 'feed' }>

function createChange (version: number): ConfigurationChange {
  const record = { organisationId: `o${version}`, quotaAccelerators: 1, weight: 1 }
  return { version, baseVersion: version - 1, upserts: [{ kind: 'organisation', record }], removes: [] }
}

function createFeed (baseVersion: number, versions: number[], fields: Partial<Feed> = {}): Feed {
  return {
    kind: 'feed',
    term: 1,
    leaderNodeId: 'n1',
    content: { kind: 'changes', baseVersion, changes: versions.map(createChange) },
    drains: [],
    requestSentAtMs: 0,
    leaseMs: 5000,
    ...fields
  }
}

function createFullFeed (version: number, fields: Partial<Feed> = {}): Feed {
  const content = { kind: 'full' as const, version, document: toDocument(emptyConfiguration()) }
  return createFeed(0, [], { content, ...fields })
}

test('a delayed feed never reverts a node to an older version', t => {
  const copy = new ConfigurationCopy(new ManualClock(), new NullEventLog())
  copy.receive(createFeed(0, [1, 2, 3]))
  copy.receive(createFeed(0, [1]))
  copy.receive(createFullFeed(2))
  t.is(copy.configuration.version, 3)
})

test('a feed of an older term is ignored, so that a deposed leader does not renew leases', t => {
  const clock = new ManualClock(1000)
  const copy = new ConfigurationCopy(clock, new NullEventLog())
  copy.receive(createFeed(0, [1], { term: 2, requestSentAtMs: null }))
  copy.receive(createFeed(1, [], { term: 1, requestSentAtMs: 1000, leaderNodeId: 'n9' }))
  t.false(copy.hasLease)
  t.is(copy.leaderNodeId, 'n1')
})

test('changes that leave a version gap are not applied and renew no lease, so that a gap is never served', t => {
  const copy = new ConfigurationCopy(new ManualClock(), new NullEventLog())
  copy.receive(createFeed(4, [5]))
  t.is(copy.configuration.version, 0)
  t.false(copy.hasLease)
})

test('a lease starts when the node sent its request, so that a delayed feed does not extend it', t => {
  const clock = new ManualClock(0)
  const copy = new ConfigurationCopy(clock, new NullEventLog())
  clock.advance(4000)
  copy.receive(createFeed(0, [1], { requestSentAtMs: 0 }))
  t.true(copy.hasLease)
  clock.advance(1000)
  t.false(copy.hasLease)
})

test('a version is in force everywhere only once every node holds it or its older leases have expired', t => {
  const leases = new NodeLeases(['n1', 'n2'], 5000)
  leases.startTerm(0)
  // n1 holds version 7 already, so only n2 may still serve under version 6.
  leases.renew('n1', 7, 6, 100)
  leases.renew('n2', 6, 6, 100)
  t.false(leases.status(7, 200).isInForceEverywhere)
  t.true(leases.status(7, 5200).isInForceEverywhere)
  // Second case, from 300 on: n2 acknowledges version 7 before its lease for version 6 has expired.
  leases.renew('n2', 7, 7, 300)
  t.true(leases.status(7, 400).isInForceEverywhere)
})

test('a new leader waits until the leases of the former leader have expired', t => {
  const leases = new NodeLeases(['n1'], 5000)
  leases.renew('n1', 3, 3, 0)
  leases.startTerm(1000)
  t.false(leases.status(3, 5900).isInForceEverywhere)
  t.true(leases.status(3, 6100).isInForceEverywhere)
})

test('a node that can send but not receive does not prevent a version from being in force everywhere', t => {
  const leases = new NodeLeases(['n1'], 5000)
  leases.startTerm(0)
  leases.renew('n1', 6, 6, 100)
  // Version 7 is committed here; the node keeps requesting feeds with version 6.
  for (let nowMs = 600; nowMs <= 4600; nowMs += 500) leases.renew('n1', 6, 7, nowMs)
  t.false(leases.status(7, 5100).isInForceEverywhere)
  t.true(leases.status(7, 5200).isInForceEverywhere)
})
