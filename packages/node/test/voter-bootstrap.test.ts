import test from 'ava'
import { decideBootstrap, findReplacedVoter, isVoterSetStable, type ControlPeer } from '../src/voter-bootstrap.js'

const n1 = { nodeId: 'n1', diskId: 'd1' }
const n2 = { nodeId: 'n2', diskId: 'd2' }
const n3 = { nodeId: 'n3', diskId: 'd3' }
const controlNodeIds = ['n1', 'n2', 'n3']

function toPeers (...entries: ControlPeer[]): Map<string, ControlPeer> {
  return new Map(entries.map(peer => [peer.voter.nodeId, peer]))
}

test('all control nodes bootstrap the same voter set, so that they cannot form two clusters', t => {
  const fromN1 = decideBootstrap(n1, controlNodeIds, toPeers({ voter: n3, voters: null }, { voter: n2, voters: null }))
  const fromN2 = decideBootstrap(n2, controlNodeIds, toPeers({ voter: n1, voters: null }, { voter: n3, voters: null }))
  t.deepEqual(fromN1, { kind: 'initialise', voters: [n1, n2, n3] })
  t.deepEqual(fromN2, fromN1)
})

test('a node waits while it has not heard from every control node, as one of them may hold the log', t => {
  t.deepEqual(decideBootstrap(n1, controlNodeIds, toPeers({ voter: n2, voters: null })), { kind: 'wait' })
})

test('a node that lost its disk takes the voter set of its peers, in which its new disk is no voter', t => {
  const returned = { nodeId: 'n1', diskId: 'new' }
  const decision = decideBootstrap(returned, controlNodeIds, toPeers({ voter: n2, voters: [n1, n2, n3] }))
  t.deepEqual(decision, { kind: 'initialise', voters: [n1, n2, n3] })
})

test('a voter is replaced only if its node announces another disk', t => {
  t.deepEqual(findReplacedVoter([n1, n2, n3], { nodeId: 'n2', diskId: 'new' }), n2)
  t.is(findReplacedVoter([n1, n2, n3], n2), undefined)
  t.is(findReplacedVoter([n1, n3], { nodeId: 'n2', diskId: 'new' }), undefined)
})

test('the voter set is not stable while a control node is unknown, uninitialised or has a new disk', t => {
  const voters = [n1, n2, n3]
  const self = { voter: n1, voters }
  const initialised = { voter: n2, voters }
  t.false(isVoterSetStable(self, controlNodeIds, toPeers(initialised)))
  t.false(isVoterSetStable(self, controlNodeIds, toPeers(initialised, { voter: n3, voters: null })))
  const newDisk = { voter: { nodeId: 'n3', diskId: 'new' }, voters }
  t.false(isVoterSetStable(self, controlNodeIds, toPeers(initialised, newDisk)))
  t.true(isVoterSetStable(self, controlNodeIds, toPeers(initialised, { voter: n3, voters })))
})

test('the voter set is not stable on a node that is no voter yet, so that it keeps announcing its disk', t => {
  const voters = [n1, n2, n3]
  const others = toPeers({ voter: n2, voters }, { voter: n3, voters })
  t.false(isVoterSetStable({ voter: n1, voters: null }, controlNodeIds, others))
  t.false(isVoterSetStable({ voter: { nodeId: 'n1', diskId: 'new' }, voters }, controlNodeIds, others))
})
