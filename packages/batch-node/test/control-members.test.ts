import test from 'ava'
import { ManualClock } from '@comfreygrade/core'
import { ControlMembers } from '../src/control-members.js'
import type { ControlNodeInfo } from '../src/index.js'

const voter = (nodeId: string, diskId = 'first') => ({ nodeId, diskId })
const info = (nodeId: string, diskId = 'first', startedWallMs = 1): ControlNodeInfo =>
  ({ nodeId, host: nodeId, port: 7000, voter: voter(nodeId, diskId), startedWallMs })
const voters = ['a', 'b', 'c'].map(nodeId => voter(nodeId))

function membersOf (...nodeIds: string[]): { members: ControlMembers, clock: ManualClock } {
  const clock = new ManualClock(10_000)
  const members = new ControlMembers({ clock, wantedVoters: 3, replaceAfterMs: 2_500 })
  for (const nodeId of nodeIds) members.announce(info(nodeId))
  return { members, clock }
}

test('a voter that comes back with an empty disk is replaced by its new self', t => {
  const { members } = membersOf('b', 'c')
  members.announce(info('b', 'new'))
  t.deepEqual(members.nextVoterChange(voters, voter('a')), {
    remove: voter('b'), add: voter('b', 'new'), reason: 'new_disk'
  })
})

test('a silent voter is replaced where there is a standby, and kept where there is none', t => {
  const alone = membersOf('b', 'c')
  alone.clock.advance(2_500)
  alone.members.heard('c')
  t.is(alone.members.nextVoterChange(voters, voter('a')), undefined)

  const { members, clock } = membersOf('b', 'c', 'd')
  clock.advance(2_500)
  members.heard('c')
  members.heard('d')
  t.deepEqual(members.nextVoterChange(voters, voter('a')), { remove: voter('b'), add: voter('d'), reason: 'silent' })
})

test('a voter that says that it leaves makes room for a standby at once', t => {
  const { members } = membersOf('b', 'c', 'd')
  members.leaving('c')
  t.like(members.nextVoterChange(voters, voter('a')), { remove: voter('c'), reason: 'leaving' })
})

test('a voter that is still heard while it leaves stays leaving', t => {
  const { members } = membersOf('b', 'c', 'd')
  members.leaving('c')
  members.announce(info('c'))
  t.like(members.nextVoterChange(voters, voter('a')), { reason: 'leaving' })
})

test('a voter that left and comes back is no longer leaving', t => {
  const { members } = membersOf('b', 'c', 'd')
  members.leaving('c')
  members.announce(info('c', 'first', 2))
  t.is(members.nextVoterChange(voters, voter('a')), undefined)
})

test('the voter set grows to the wanted size and no further', t => {
  const clock = new ManualClock(10_000)
  const members = new ControlMembers({ clock, wantedVoters: 5, replaceAfterMs: 2_500 })
  for (const nodeId of ['b', 'c', 'd', 'e', 'f']) members.announce(info(nodeId))
  const first = members.nextVoterChange(voters, voter('a'))
  t.like(first, { remove: null, reason: 'growth' })
  const five = [...voters, voter('d'), voter('e')]
  t.is(members.nextVoterChange(five, voter('a')), undefined)
})
