import test from 'ava'
import { decideBootstrap, findReplacedVoter, isVoterSetSettled, type ControlPeer } from '../src/voter-bootstrap.js'

const n1 = { nodeId: 'n1', diskId: 'd1' }
const n2 = { nodeId: 'n2', diskId: 'd2' }
const n3 = { nodeId: 'n3', diskId: 'd3' }
const controlNodeIds = ['n1', 'n2', 'n3']

function peers (...entries: ControlPeer[]): Map<string, ControlPeer> {
  return new Map(entries.map(peer => [peer.voter.nodeId, peer]))
}

test('every control node forms the same first voter set, so that two first starts cannot form two systems', t => {
  const fromN1 = decideBootstrap(n1, controlNodeIds, peers({ voter: n3, voters: null }, { voter: n2, voters: null }))
  const fromN2 = decideBootstrap(n2, controlNodeIds, peers({ voter: n1, voters: null }, { voter: n3, voters: null }))
  t.deepEqual(fromN1, { kind: 'initialise', voters: [n1, n2, n3] })
  t.deepEqual(fromN2, fromN1)
})

test('a node waits while a control node is unknown, as that one may hold the log', t => {
  t.deepEqual(decideBootstrap(n1, controlNodeIds, peers({ voter: n2, voters: null })), { kind: 'wait' })
})

test('a node that lost its disk takes the voter set of the others and is not in it', t => {
  const returned = { nodeId: 'n1', diskId: 'new' }
  const decision = decideBootstrap(returned, controlNodeIds, peers({ voter: n2, voters: [n1, n2, n3] }))
  t.deepEqual(decision, { kind: 'initialise', voters: [n1, n2, n3] })
})

test('a voter is replaced only when its own node returns with another disk', t => {
  t.deepEqual(findReplacedVoter([n1, n2, n3], { nodeId: 'n2', diskId: 'new' }), n2)
  t.is(findReplacedVoter([n1, n2, n3], n2), undefined)
  t.is(findReplacedVoter([n1, n3], { nodeId: 'n2', diskId: 'new' }), undefined)
})

test('hello stays frequent while a control node was not heard, is uninitialised or has a new disk', t => {
  const voters = [n1, n2, n3]
  const self = { voter: n1, voters }
  const initialised = { voter: n2, voters }
  t.false(isVoterSetSettled(self, controlNodeIds, peers(initialised)))
  t.false(isVoterSetSettled(self, controlNodeIds, peers(initialised, { voter: n3, voters: null })))
  const newDisk = { voter: { nodeId: 'n3', diskId: 'new' }, voters }
  t.false(isVoterSetSettled(self, controlNodeIds, peers(initialised, newDisk)))
  t.true(isVoterSetSettled(self, controlNodeIds, peers(initialised, { voter: n3, voters })))
})

test('hello stays frequent on a node that is no voter yet, as the leader may have to be asked again', t => {
  const voters = [n1, n2, n3]
  const others = peers({ voter: n2, voters }, { voter: n3, voters })
  t.false(isVoterSetSettled({ voter: n1, voters: null }, controlNodeIds, others))
  t.false(isVoterSetSettled({ voter: { nodeId: 'n1', diskId: 'new' }, voters }, controlNodeIds, others))
})
