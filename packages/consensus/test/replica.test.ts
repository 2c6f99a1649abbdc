import test from 'ava'
import { Random } from '@comfreygrade/core'
import {
  defaultReplicaSettings, Replica, type ConsensusMessage, type RecoveredLog, type ReplicaEffect, type VoterId
} from '../src/index.js'
import { Simulation, type SimulationOptions } from './simulation.js'

const [a, b, c] = ['a', 'b', 'c'].map(nodeId => ({ nodeId, diskId: 'd0' })) as [VoterId, VoterId, VoterId]

function createReplica (id: VoterId, recovered: RecoveredLog<string> = Replica.initialLog([a, b, c])): Replica<string> {
  return new Replica({ id, settings: defaultReplicaSettings, recovered, random: new Random(3) })
}

function sentMessages (effects: Array<ReplicaEffect<string>>): Array<ConsensusMessage<string>> {
  return effects.filter(effect => effect.kind === 'send').map(effect => effect.message)
}

function voteRequest (term: number): ConsensusMessage<string> {
  return { kind: 'vote_request', term, isPreVote: false, lastIndex: 1, lastTerm: 1, isTransfer: false }
}

function persistIds (effects: Array<ReplicaEffect<string>>): number[] {
  return effects.filter(effect => effect.kind === 'persist').map(effect => effect.persistId)
}

/** Makes replica `a` the leader of term 3 with the vote of `b`; the first entry of its term is not synced yet. */
function electLeader (recovered: RecoveredLog<string>): { leader: Replica<string>, unsynced: number[] } {
  const leader = createReplica(a, recovered)
  leader.step({ kind: 'tick' }, 0)
  leader.step({ kind: 'tick' }, 2_000)
  const preVote = { kind: 'vote_response', term: 3, isPreVote: true, granted: true } as const
  const campaign = leader.step({ kind: 'message', from: b, message: preVote }, 2_010)
  leader.step({ kind: 'persisted', persistId: persistIds(campaign).at(-1) ?? 0 }, 2_020)
  const won = leader.step({ kind: 'message', from: b, message: { ...preVote, isPreVote: false } }, 2_030)
  return { leader, unsynced: persistIds(won) }
}

function appendResponse (matchIndex: number): ConsensusMessage<string> {
  return { kind: 'append_response', term: 3, success: true, matchIndex, round: 1 }
}

/** The log of a voter that received an entry of term 2 but does not know whether it was committed. */
function logOfTermTwo (): RecoveredLog<string> {
  const { entries } = Replica.initialLog<string>([a, b, c])
  const old = { index: 2, term: 2, logTimeMs: 5, body: { kind: 'command', proposalId: 'old', command: 'x' } } as const
  return { hardState: { term: 2, votedFor: null }, snapshot: null, entries: [...entries, old] }
}

/** Starts three replicas and waits for a leader. */
function startCluster (options: Partial<SimulationOptions> = {}): Simulation {
  const simulation = new Simulation({ seed: 11, replicas: 3, ...options })
  if (!simulation.runUntil(() => simulation.leader !== undefined, 5_000)) throw new Error('no leader was elected')
  simulation.run(300)
  return simulation
}

function proposeMany (simulation: Simulation, count: number): void {
  for (let i = 0; i < count; i++) {
    simulation.propose()
    simulation.run(2)
  }
}

test('a new leader is elected within 2 s of a leader crash, so that the failure of one VM does not stop control', t => {
  const simulation = startCluster()
  const proposalId = simulation.propose() ?? ''
  simulation.run(200)
  const killed = simulation.leaderPosition
  simulation.crash(killed)
  t.true(simulation.runUntil(() => simulation.leader !== undefined, 2_000))
  t.not(simulation.leaderPosition, killed)
  simulation.run(500)
  t.true(simulation.leader?.applied.includes(proposalId))
})

test('a replica that was partitioned does not increase the term when it reconnects, so that it does not depose the leader', t => {
  const simulation = startCluster()
  const { leaderPosition, leaderReplica: { term } } = simulation
  simulation.isolate((leaderPosition + 1) % 3)
  simulation.run(10_000)
  simulation.heal()
  simulation.run(2_000)
  t.is(simulation.leaderPosition, leaderPosition)
  t.is(simulation.leaderReplica.term, term)
})

test('a leader without a majority loses its lease and then steps down, so that it does not act beside a new leader', t => {
  const simulation = startCluster()
  const old = simulation.leader
  const replica = simulation.leaderReplica
  simulation.isolate(simulation.leaderPosition)
  simulation.run(540)
  t.false(replica.hasQuorumLease(old?.monotonicMs(simulation.nowMs) ?? 0))
  simulation.run(200)
  t.is(replica.role, 'follower')
})

test('a leader that can send but not receive is replaced, so that a one-way link failure does not stop the cluster', t => {
  const simulation = startCluster()
  const old = simulation.leaderPosition
  for (const other of [0, 1, 2]) if (other !== old) simulation.cut(other, old, false)
  simulation.run(3_000)
  t.truthy(simulation.leader)
  t.not(simulation.leaderPosition, old)
})

test('an overwritten proposal is rejected as lost, so that no caller waits for it or takes it for committed', t => {
  const simulation = startCluster()
  simulation.isolate(simulation.leaderPosition)
  const proposalId = simulation.propose() ?? ''
  simulation.run(3_000)
  simulation.heal()
  simulation.finish()
  t.is(simulation.history.rejections.get(proposalId), 'lost')
  t.deepEqual(simulation.history.violations, [])
})

test('a replica that needs discarded entries receives a snapshot in chunks, even if a leadership transfer is requested meanwhile', t => {
  const simulation = startCluster()
  const behind = (simulation.leaderPosition + 1) % 3
  simulation.crash(behind)
  proposeMany(simulation, 400)
  simulation.run(300)
  for (const n of [0, 1, 2]) simulation.snapshot(n)
  simulation.run(100)
  simulation.start(behind)
  t.true(simulation.runUntil(() => (simulation.sentCounts.get('snapshot_ack') ?? 0) > 2, 3_000))
  simulation.transferLeadership()
  simulation.finish()
  t.true((simulation.sentCounts.get('snapshot_chunk') ?? 0) > 5)
  t.true(simulation.node(behind).applied.length > 400)
  t.deepEqual(simulation.history.violations, [])
})

test('after a voter that lost its disk is replaced, the leader may crash at once without loss of data or availability', t => {
  const simulation = startCluster()
  proposeMany(simulation, 50)
  const lostPosition = (simulation.leaderPosition + 1) % 3
  const former = simulation.node(lostPosition).id
  simulation.loseDisk(lostPosition)
  t.true(simulation.runUntil(() => !simulation.isReplacing, 5_000))
  t.false(simulation.leaderReplica.voters
    .some(voter => voter.diskId === former.diskId && voter.nodeId === former.nodeId))
  simulation.crash(simulation.leaderPosition)
  t.true(simulation.runUntil(() => simulation.leader !== undefined, 5_000))
  const proposalId = simulation.propose() ?? ''
  simulation.run(300)
  t.true(simulation.leader?.applied.includes(proposalId))
  simulation.finish()
  t.deepEqual(simulation.history.violations, [])
})

test('a new voter that never responds leaves the old voter set in effect and does not block the next replacement', t => {
  const simulation = startCluster({ settings: { learnerSilenceMs: 1_000 } })
  const voter = simulation.node(simulation.leaderPosition + 1).id
  const { voters } = simulation.leaderReplica
  simulation.requestReplacement('first', voter, { nodeId: 'absent', diskId: 'd9' })
  simulation.requestReplacement('second', voter, { nodeId: 'other', diskId: 'd9' })
  simulation.run(500)
  t.deepEqual(simulation.leaderReplica.configuration.outgoingVoters, [], 'the new voter has not caught up')
  simulation.run(1_500)
  // A voter cannot be replaced by itself. `invalid_change` instead of `change_in_progress` shows that no replacement is
  // pending any more.
  simulation.requestReplacement('third', voter, voter)
  simulation.run(200)
  t.deepEqual([...simulation.history.rejections], [
    ['second', 'change_in_progress'], ['first', 'learner_unreachable'], ['third', 'invalid_change']
  ])
  t.deepEqual(simulation.leaderReplica.voters, voters)
})

test('a replacement is aborted if the new voter fails during joint consensus, so that the cluster can leave it', t => {
  const simulation = startCluster({ settings: { learnerSilenceMs: 1_000 } })
  const { leaderPosition, leaderReplica: { voters } } = simulation
  const joining = (leaderPosition + 1) % 3
  simulation.onSend = message => {
    const isJoint = message.kind === 'append_request' &&
      message.entries.some(({ body }) => body.kind === 'voters' && body.outgoingVoters.length > 0)
    if (isJoint) simulation.isolate(joining)
  }
  const replaced = simulation.node(joining).id
  const add = { nodeId: replaced.nodeId, diskId: 'd1' }
  simulation.crash(joining)
  simulation.node(joining).disk.durable = Replica.emptyLog()
  simulation.node(joining).id = add
  simulation.start(joining)
  simulation.requestReplacement('change', replaced, add)
  simulation.run(500)
  t.is(simulation.leaderReplica.configuration.outgoingVoters.length, 3)
  simulation.run(2_000)
  t.deepEqual(simulation.leaderReplica.configuration, { voters, outgoingVoters: [] })
  t.is(simulation.history.rejections.get('change'), 'learner_unreachable')
})

test('a leader that is replaced has a successor within 1 s and does not disrupt the new voter set', t => {
  const simulation = startCluster()
  const removed = simulation.leader
  const add = { nodeId: 'new', diskId: 'd0' }
  simulation.addNode(add)
  simulation.requestReplacement('change', removed?.id as VoterId, add)
  const isDone = () => simulation.leader !== undefined && simulation.leader !== removed
  t.true(simulation.runUntil(isDone, 1_000))
  simulation.run(500)
  const { term } = simulation.leaderReplica
  simulation.run(10_000)
  t.is(simulation.leaderReplica.term, term)
  t.deepEqual(simulation.leaderReplica.voters.map(({ nodeId }) => nodeId).includes('new'), true)
  t.is(removed?.replica?.role, 'follower')
  t.is(removed?.replica?.nextWakeAtMs(), Infinity)
})

test('a leader that steps down transfers leadership within 500 ms without data loss, so that a shutdown is not an outage', t => {
  const simulation = startCluster()
  const old = simulation.leaderPosition
  proposeMany(simulation, 20)
  simulation.transferLeadership()
  t.true(simulation.runUntil(() => simulation.leader !== undefined && simulation.leaderPosition !== old, 500))
  simulation.finish()
  t.deepEqual(simulation.history.violations, [])
  t.is(simulation.history.acknowledged.size >= 20, true)
})

test('500 entries are recovered after a restart of all replicas, whether or not a replica has a snapshot', t => {
  const simulation = startCluster()
  proposeMany(simulation, 500)
  simulation.run(500)
  simulation.snapshot(0)
  simulation.run(100)
  simulation.crashAll()
  simulation.startAll()
  simulation.finish()
  // The 500 proposals and the one made by finish(), which also compares the commands applied by all replicas.
  t.is(simulation.node(0).applied.length, 501)
  t.deepEqual(simulation.history.violations, [])
})

test('proposals beyond the limit of uncommitted entries are rejected, so that memory stays bounded without a majority', t => {
  const simulation = startCluster({ settings: { maxUncommittedEntries: 10 } })
  simulation.isolate(simulation.leaderPosition)
  const ids = Array.from({ length: 12 }, () => simulation.propose() ?? '')
  const reasons = ids.map(id => simulation.history.rejections.get(id))
  t.deepEqual(reasons.slice(9), [undefined, 'queue_full', 'queue_full'])
})

test('proposals beyond the limit of uncommitted bytes are rejected, so that large commands cannot exhaust memory', t => {
  const simulation = startCluster({ settings: { maxUncommittedBytes: 300 } })
  simulation.isolate(simulation.leaderPosition)
  const ids = Array.from({ length: 12 }, () => simulation.propose() ?? '')
  t.is(simulation.history.rejections.get(ids[0] ?? ''), undefined)
  t.is(simulation.history.rejections.get(ids.at(-1) ?? ''), 'queue_full')
})

test('the entries kept before a snapshot are limited in bytes, so that large entries cannot exhaust memory', t => {
  const simulation = startCluster({ settings: { keepTailEntries: 1_000, keepTailBytes: 1_500 } })
  proposeMany(simulation, 100)
  simulation.run(200)
  const replica = simulation.leaderReplica
  t.true(replica.bytesAfterSnapshot > 5_000)
  simulation.snapshot(simulation.leaderPosition)
  simulation.run(100)
  t.is(replica.bytesAfterSnapshot, 0)
  t.notThrows(() => replica.describeSnapshot(95))
  t.throws(() => replica.describeSnapshot(50), { instanceOf: RangeError })
})

test('appends to a lagging replica stay within the entry limit, so that no large message blocks a link', t => {
  const settings = { maxAppendEntries: 16, maxAppendBytes: 1_000, maxInflightAppends: 4, keepTailEntries: 1_000 }
  const simulation = startCluster({ settings })
  const behind = (simulation.leaderPosition + 1) % 3
  simulation.crash(behind)
  proposeMany(simulation, 200)
  const sizes: number[] = []
  simulation.onSend = message => {
    if (message.kind === 'append_request') sizes.push(message.entries.length)
  }
  simulation.start(behind)
  simulation.run(2_000)
  t.true(simulation.node(behind).applied.length >= 200)
  t.true(Math.max(...sizes) > 1 && Math.max(...sizes) <= 16)
})

test('a vote is sent only after it is synced and is remembered after a restart, so that no term has two leaders', t => {
  const voter = createReplica(a)
  voter.step({ kind: 'tick' }, 0)
  const effects = voter.step({ kind: 'message', from: b, message: voteRequest(2) }, 700)
  t.deepEqual(sentMessages(effects), [])
  const hardState = effects.findLast(effect => effect.kind === 'persist')?.hardState ?? { term: 0, votedFor: null }
  const [answer] = sentMessages(voter.step({ kind: 'persisted', persistId: persistIds(effects).at(-1) ?? 0 }, 710))
  t.like(answer, { kind: 'vote_response', granted: true, term: 2 })

  const restarted = createReplica(a, { ...Replica.initialLog<string>([a, b, c]), hardState })
  restarted.step({ kind: 'tick' }, 0)
  const second = restarted.step({ kind: 'message', from: c, message: voteRequest(2) }, 700)
  t.like(sentMessages(second)[0], { kind: 'vote_response', granted: false })
})

test('a replica rejects vote requests right after a restart, as it may have acknowledged a leader that holds a lease', t => {
  const restarted = createReplica(a)
  restarted.step({ kind: 'tick' }, 0)
  const effects = restarted.step({ kind: 'message', from: b, message: voteRequest(2) }, 500)
  t.like(sentMessages(effects)[0], { kind: 'vote_response', granted: false, term: 1 })
  t.is(restarted.term, 1)
})

test('entries are acknowledged only after their sync, so that committed entries survive a power failure', t => {
  const follower = createReplica(a)
  const entries = [{ index: 2, term: 2, logTimeMs: 5, body: { kind: 'noop' } }] as const
  const request = {
    kind: 'append_request', term: 2, previousIndex: 1, previousTerm: 1, entries, commitIndex: 1, round: 1
  } as const
  const first = follower.step({ kind: 'message', from: b, message: request }, 0)
  t.deepEqual(sentMessages(first), [])
  const [firstId, lastId] = persistIds(first)
  const early = sentMessages(follower.step({ kind: 'persisted', persistId: firstId ?? 0 }, 5))
  t.deepEqual(early, [])
  const repeated = sentMessages(follower.step({ kind: 'message', from: b, message: { ...request, round: 2 } }, 6))
  t.like(repeated[0], { success: true, matchIndex: 1 }, 'a repeated request before the sync acknowledges only synced entries')
  const late = sentMessages(follower.step({ kind: 'persisted', persistId: lastId ?? 0 }, 10))
  t.like(late[0], { kind: 'append_response', success: true, matchIndex: 2 })
})

test('a leader counts itself only for entries it has synced, so that committed entries are on a majority of disks', t => {
  const { leader, unsynced } = electLeader(logOfTermTwo())
  t.is(leader.role, 'leader')
  leader.step({ kind: 'message', from: b, message: appendResponse(3) }, 2_050)
  t.is(leader.commitIndex, 0)
  leader.step({ kind: 'persisted', persistId: unsynced.at(-1) ?? 0 }, 2_060)
  t.is(leader.commitIndex, 3)
})

test('an entry of an earlier term is not committed by counting replicas, as a later leader could still overwrite it', t => {
  const { leader, unsynced } = electLeader(logOfTermTwo())
  leader.step({ kind: 'persisted', persistId: unsynced.at(-1) ?? 0 }, 2_040)
  leader.step({ kind: 'message', from: b, message: appendResponse(2) }, 2_050)
  t.is(leader.commitIndex, 0)
  leader.step({ kind: 'message', from: b, message: appendResponse(3) }, 2_060)
  t.is(leader.commitIndex, 3)
})

test('an installed snapshot is acknowledged only after its sync, so that the leader does not count entries that may be lost', t => {
  const follower = createReplica(a)
  const position = { lastIndex: 9, lastTerm: 2, logTimeMs: 5, voters: [a, b, c], outgoingVoters: [] }
  const message = {
    kind: 'snapshot_chunk', term: 2, snapshot: position, offsetBytes: 0, totalBytes: 1, chunk: new Uint8Array(1)
  } as const
  const effects = follower.step({ kind: 'message', from: b, message }, 0)
  t.true(effects.some(effect => effect.kind === 'restore'))
  t.deepEqual(sentMessages(effects), [])
  t.deepEqual(sentMessages(follower.step({ kind: 'message', from: b, message }, 5)), [], 'a repeated chunk before the sync is not acknowledged either')
  const done = sentMessages(follower.step({ kind: 'persisted', persistId: persistIds(effects).at(-1) ?? 0 }, 10))
  t.like(done[0], { kind: 'snapshot_ack', lastIndex: 9, receivedBytes: 1 })
})

test('an overwritten change of the voter set is reverted, so that no replica counts votes in a set that is not in the log', t => {
  const follower = createReplica(a)
  const joint = { kind: 'voters', voters: [a, b, { nodeId: 'd', diskId: 'd0' }], outgoingVoters: [a, b, c] } as const
  const request = { kind: 'append_request', previousIndex: 1, previousTerm: 1, commitIndex: 1, round: 1 } as const
  const change = { index: 2, term: 2, logTimeMs: 5, body: joint }
  follower.step({ kind: 'message', from: b, message: { ...request, term: 2, entries: [change] } }, 0)
  t.is(follower.configuration.outgoingVoters.length, 3)
  const noop = { index: 2, term: 3, logTimeMs: 5, body: { kind: 'noop' } } as const
  follower.step({ kind: 'message', from: c, message: { ...request, term: 3, entries: [noop] } }, 10)
  t.deepEqual(follower.configuration, { voters: [a, b, c], outgoingVoters: [] })
})

test('a replica with an empty disk neither campaigns nor votes, so that it does not break promises made before a disk loss', t => {
  const empty = createReplica({ nodeId: 'a', diskId: 'd1' }, Replica.emptyLog())
  t.deepEqual(empty.step({ kind: 'tick' }, 0), [])
  t.is(empty.nextWakeAtMs(), Infinity)
  t.deepEqual(empty.step({ kind: 'tick' }, 60_000), [])
  t.deepEqual(empty.step({ kind: 'message', from: b, message: voteRequest(9) }, 60_001), [])
})

test('a lease that could outlast the minimum election timeout is rejected at construction', t => {
  const settings = { ...defaultReplicaSettings, leaseMs: 600 }
  const build = () => new Replica({ id: a, settings, recovered: Replica.emptyLog<string>(), random: new Random(1) })
  t.throws(build, { instanceOf: RangeError })
})
