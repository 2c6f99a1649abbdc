/** Bursts of steps that need tickets of an advice service which takes time and handles one call after the other. */
import test from 'ava'
import { AdvisedFleet } from './advised-fleet.js'
import type { ValidityStart } from './advice-service.js'
import type { AdvicePolicy } from '../src/index.js'

const WHOLE_WORKER = { cpuMillicores: 64_000, memoryMb: 1_000, acceleratorCount: 8 }
const WORKERS = 30
const RUN_MS = 1_000
/** For heartbeats, commits and passes, beside the calls and the runs. */
const SLACK_MS = 3_000

const policyOf = (decideMs: number, perWorkerMs: number, ticketValidMs: number): AdvicePolicy =>
  ({ decideMs, perWorkerMs, ticketValidMs })

/** Time of one call a step that names the whole fleet, which is what the users count. */
function callsMs ({ decideMs, perWorkerMs }: AdvicePolicy, steps: number, workers = WORKERS): number {
  return steps * (decideMs + perWorkerMs * workers)
}

function submitBurst (fleet: AdvisedFleet, count: number, prefix = 'j'): string[] {
  const jobIds = Array.from({ length: count }, (_unused, index) => `${prefix}${index}`)
  for (const jobId of jobIds) fleet.submit(jobId)
  return jobIds
}

const POLICIES: ReadonlyArray<readonly [AdvicePolicy, ValidityStart]> = [
  [policyOf(200, 10, 2_000), 'taken_up'],
  [policyOf(20, 45, 20_000), 'taken_up'],
  [policyOf(500, 20, 4_000), 'taken_up'],
  [policyOf(0, 0, 1_500), 'taken_up'],
  [policyOf(1_000, 50, 2_500), 'taken_up'],
  [policyOf(50, 2, 3_000), 'answered'],
  // No ticket can be used unless its validity counts from the answer.
  [policyOf(2_500, 10, 2_500), 'answered']
]

// Guards against steps that never start in a calm system: the calls waited for one another for as long as their tickets
// were valid, each counted as expired when it came, and the same steps asked again.
for (const [policy, validityStart] of POLICIES) {
  const { decideMs, perWorkerMs, ticketValidMs } = policy
  test(`all steps of a burst run: ${decideMs} + ${perWorkerMs} ms, valid for ${ticketValidMs} ms`, t => {
    const fleet = new AdvisedFleet({ workerCount: WORKERS, policy, validityStart, runMs: RUN_MS })
    const jobIds = submitBurst(fleet, 20)
    const limitMs = callsMs(policy, jobIds.length) + RUN_MS + SLACK_MS
    fleet.passTimeUntil(() => jobIds.every(jobId => fleet.isCompleted(jobId)), limitMs)
    t.deepEqual(jobIds.filter(jobId => !fleet.isCompleted(jobId)), [])
    t.is(fleet.refusedStarts, 0)
    t.is(fleet.service.mostCalls, 1)
  })
}

// Guards against a queue of which no task ever starts, since its tickets are valid for less than the margin for the way
// of a start order.
for (const ticketValidMs of [400, 250.5]) {
  test(`tasks run though tickets are valid for ${ticketValidMs} ms only`, t => {
    const fleet = new AdvisedFleet({ workerCount: 4, policy: policyOf(5, 0.1, ticketValidMs) })
    fleet.submit('first')
    fleet.passTimeUntil(() => fleet.isCompleted('first'), RUN_MS + SLACK_MS)
    t.true(fleet.isCompleted('first'))
  })
}

const CASE_POLICY = policyOf(200, 10, 2_000)

// Guards against a fleet that can never use a ticket, since naming all of it takes longer than tickets are valid.
test('a call names so few workers that its tickets can be used', t => {
  const policy = policyOf(100, 50, 2_000)
  const fleet = new AdvisedFleet({ workerCount: 100, policy })
  fleet.submit('wide', { taskCount: 90, shape: WHOLE_WORKER })
  fleet.passTimeUntil(() => fleet.isCompleted('wide'), callsMs(policy, 3, 100) + 5 * (RUN_MS + SLACK_MS))
  t.true(fleet.isCompleted('wide'))
  t.is(fleet.refusedStarts, 0)
})

// Guards against the time of the service that is spent on workers which the step does not need.
test('a call for few tasks does not name a whole fleet', t => {
  const fleet = new AdvisedFleet({ workerCount: 100, policy: policyOf(20, 45, 20_000) })
  fleet.submit('small')
  const elapsedMs = fleet.passTimeUntil(() => fleet.hasStarted('small'), 10_000)
  t.true(elapsedMs < 1_000, `started after ${elapsedMs} ms`)
})

// Guards against calls that wait behind those that were given up, until their own tickets count as expired.
test('steps run after connections to the service were reset in the middle of a burst', t => {
  const fleet = new AdvisedFleet({ workerCount: WORKERS, policy: CASE_POLICY })
  const jobIds = submitBurst(fleet, 20)
  fleet.passTime(700)
  fleet.isResetting = true
  fleet.passTime(3_000)
  fleet.isResetting = false
  const limitMs = callsMs(CASE_POLICY, jobIds.length) + RUN_MS + 2 * SLACK_MS
  fleet.passTimeUntil(() => jobIds.every(jobId => fleet.isCompleted(jobId)), limitMs)
  t.deepEqual(jobIds.filter(jobId => !fleet.isCompleted(jobId)), [])
  t.is(fleet.service.mostCalls, 1)
  t.is(fleet.refusedStarts, 0)
})

test('steps run after the leader has changed, and has changed back, in the middle of a burst', t => {
  const fleet = new AdvisedFleet({ workerCount: WORKERS, policy: CASE_POLICY })
  const jobIds = submitBurst(fleet, 20)
  for (let change = 0; change < 2; change++) {
    fleet.passTime(1_250)
    fleet.changeLeader()
  }
  const limitMs = callsMs(CASE_POLICY, jobIds.length) + RUN_MS + 2 * SLACK_MS
  fleet.passTimeUntil(() => jobIds.every(jobId => fleet.isCompleted(jobId)), limitMs)
  t.deepEqual(jobIds.filter(jobId => !fleet.isCompleted(jobId)), [])
  t.is(fleet.refusedStarts, 0)
})

for (const slowdown of [Infinity, 40]) {
  const how = slowdown === Infinity ? 'does not answer' : 'is far slower than configured'

  // Guards against an advice service that holds up queues which do not need it, or its own after it has recovered.
  test(`while the service ${how} for a minute, other queues do not notice, and its own goes on afterwards`, t => {
    const fleet = new AdvisedFleet({ workerCount: WORKERS, policy: CASE_POLICY })
    fleet.service.slowdown = slowdown
    const advised = submitBurst(fleet, 20)
    for (let index = 0; index < 12; index++) {
      fleet.submit(`plain${index}`, {}, 'plain')
      const elapsedMs = fleet.passTimeUntil(() => fleet.isCompleted(`plain${index}`), 5_000)
      t.true(elapsedMs < RUN_MS + 1_500, `completed after ${elapsedMs} ms`)
      fleet.passTime(5_000 - elapsedMs)
    }
    fleet.service.slowdown = 1
    fleet.passTimeUntil(() => advised.every(jobId => fleet.isCompleted(jobId)), 90_000)
    t.deepEqual(advised.filter(jobId => !fleet.isCompleted(jobId)), [])
    t.is(fleet.refusedStarts, 0)
  })
}

// Guards against an urgent step that waits for its turn behind a whole burst.
test('an urgent step asks before those that came shortly before it', t => {
  const fleet = new AdvisedFleet({ workerCount: WORKERS, policy: CASE_POLICY })
  submitBurst(fleet, 20)
  fleet.passTime(1_000)
  fleet.submit('urgent', {}, 'urgent')
  const elapsedMs = fleet.passTimeUntil(() => fleet.hasStarted('urgent'), 10_000)
  t.true(elapsedMs <= 2 * callsMs(CASE_POLICY, 1) + 500, `started after ${elapsedMs} ms`)
})

test('a stream of urgent steps does not keep another step from its turn', t => {
  const fleet = new AdvisedFleet({ workerCount: WORKERS, policy: CASE_POLICY })
  for (let count = 0; count < 10; count++) fleet.submit(`first${count}`, {}, 'urgent')
  fleet.submit('normal')
  for (let round = 0; round < 100 && !fleet.hasStarted('normal'); round++) {
    fleet.submit(`urgent${round}`, {}, 'urgent')
    fleet.passTime(150)
  }
  t.true(fleet.hasStarted('normal'))
})

// Guards against steps that renew tickets which they cannot use, and keep the service from one that could start.
test('steps whose permitted workers are full do not keep a step from an idle worker', t => {
  const policy = policyOf(400, 10, 1_500)
  const fleet = new AdvisedFleet({ workerCount: 4, policy, runMs: 60_000 })
  fleet.service.isPermitted = (stepKey, workerId) => (workerId === 'w3') === stepKey.startsWith('idle')
  fleet.submit('first', { taskCount: 3, shape: WHOLE_WORKER })
  fleet.passTimeUntil(() => fleet.started.length === 3, 10_000)
  for (let index = 0; index < 12; index++) fleet.submit(`waiting${index}`, { taskCount: 1, shape: WHOLE_WORKER })
  fleet.passTime(20_000)
  fleet.submit('idle', { taskCount: 1, shape: WHOLE_WORKER })
  const elapsedMs = fleet.passTimeUntil(() => fleet.hasStarted('idle'), 20_000)
  t.true(elapsedMs <= 3 * callsMs(policy, 1, 4) + 500, `started after ${elapsedMs} ms`)
})

// Guards against a wide step that stands still each time when its tickets expire, though tasks of it still wait.
test('the tickets of a step with tasks that still wait are renewed before they expire', t => {
  const policy = policyOf(600, 10, 2_500)
  const fleet = new AdvisedFleet({ workerCount: 2, policy, runMs: 400 })
  fleet.submit('wide', { taskCount: 40, shape: WHOLE_WORKER })
  fleet.passTimeUntil(() => fleet.isCompleted('wide'), 60_000)
  const ends = [...fleet.endedMs.values()].sort((left, right) => left - right)
  const gapsMs = ends.slice(1).map((endedMs, index) => endedMs - ends[index]!)
  t.true(fleet.isCompleted('wide'))
  t.true(Math.max(...gapsMs) <= 400 + policy.decideMs, `longest pause ${Math.max(...gapsMs)} ms`)
})
