import test from 'ava'
import { ManualClock } from '@comfreygrade/core'
import { ControlMembership } from '../src/control-membership.js'
import type { ControlNodeInfo } from '../src/index.js'

const voter = (nodeId: string, diskId = 'first') => ({ nodeId, diskId })
const nodeInfo = (nodeId: string, diskId = 'first', startedWallMs = 1): ControlNodeInfo =>
  ({ nodeId, host: nodeId, port: 7000, voter: voter(nodeId, diskId), startedWallMs })
const voters = ['a', 'b', 'c'].map(nodeId => voter(nodeId))

function createMembership (...nodeIds: string[]): { members: ControlMembership, clock: ManualClock } {
  const clock = new ManualClock(10_000)
  const members = new ControlMembership({ clock, targetVoterCount: 3, replaceSilentAfterMs: 2_500 })
  for (const nodeId of nodeIds) members.recordAnnouncement(nodeInfo(nodeId))
  return { members, clock }
}

test('a voter that returns with an empty disk is replaced by the same node with its new disk ID', t => {
  const { members } = createMembership('b', 'c')
  members.recordAnnouncement(nodeInfo('b', 'new'))
  t.deepEqual(members.nextVoterChange(voters, voter('a')), {
    remove: voter('b'), add: voter('b', 'new'), reason: 'new_disk'
  })
})

test('a silent voter is replaced if there is a standby, and kept if there is none', t => {
  const alone = createMembership('b', 'c')
  alone.clock.advance(2_500)
  alone.members.recordContact('c')
  t.is(alone.members.nextVoterChange(voters, voter('a')), undefined)

  const { members, clock } = createMembership('b', 'c', 'd')
  clock.advance(2_500)
  members.recordContact('c')
  members.recordContact('d')
  t.deepEqual(members.nextVoterChange(voters, voter('a')), { remove: voter('b'), add: voter('d'), reason: 'silent' })
})

test('a voter that announces its shutdown is replaced at once, without waiting until it is silent', t => {
  const { members } = createMembership('b', 'c', 'd')
  members.markLeaving('c')
  t.like(members.nextVoterChange(voters, voter('a')), { remove: voter('c'), reason: 'leaving' })
})

test('a voter that still announces itself during its shutdown is treated as leaving', t => {
  const { members } = createMembership('b', 'c', 'd')
  members.markLeaving('c')
  members.recordAnnouncement(nodeInfo('c'))
  t.like(members.nextVoterChange(voters, voter('a')), { reason: 'leaving' })
})

test('a voter that has restarted after its shutdown is no longer leaving', t => {
  const { members } = createMembership('b', 'c', 'd')
  members.markLeaving('c')
  members.recordAnnouncement(nodeInfo('c', 'first', 2))
  t.is(members.nextVoterChange(voters, voter('a')), undefined)
})

test('the voter set grows to the target size and no further', t => {
  const clock = new ManualClock(10_000)
  const members = new ControlMembership({ clock, targetVoterCount: 5, replaceSilentAfterMs: 2_500 })
  for (const nodeId of ['b', 'c', 'd', 'e', 'f']) members.recordAnnouncement(nodeInfo(nodeId))
  const first = members.nextVoterChange(voters, voter('a'))
  t.like(first, { remove: null, reason: 'growth' })
  const five = [...voters, voter('d'), voter('e')]
  t.is(members.nextVoterChange(five, voter('a')), undefined)
})
