import test from 'ava'
import { ControlLeader, type ControlOperation, type ControlResult, type WorkerOrder } from '../src/index.js'
import { FakeScheduler } from './fake-scheduler.js'
import { countOperations } from './operation-counter.js'
import { job, Simulation } from './simulation.js'

const KEY = '00000000-1000-7000-8000-000000000001'

function startedSimulation (workers = 3): Simulation {
  const simulation = new Simulation({ workers })
  simulation.run(200)
  return simulation
}

function requestResult (simulation: Simulation, operation: ControlOperation): ControlResult | undefined {
  const requestId = simulation.request(operation)
  while (simulation.step());
  return simulation.replies.get(requestId)
}

function summary (result: ControlResult | undefined): string {
  if (result === undefined) return 'no answer'
  if (!result.ok) return result.failure.kind
  switch (result.value.kind) {
    case 'job': return `job ${result.value.job.phase}`
    case 'claim': return result.value.granted ? 'granted' : `claim ${result.value.claim.state}`
    default: return result.value.kind
  }
}

function sentOrderKinds (simulation: Simulation): string[] {
  return simulation.messages.flatMap(message => message.kind === 'orders' ? message.effect.orders : [])
    .map(({ kind }: WorkerOrder) => kind)
}

function isInPhase (simulation: Simulation, jobId: string, phase: string): boolean {
  return simulation.state.job(jobId)?.phase === phase
}

test('a job submitted twice at once is one job, and an impossible shape never enters the log', t => {
  const simulation = startedSimulation()
  const ids = [1, 2].map(() => simulation.request({ kind: 'submit_job', spec: job('j0') }))
  while (simulation.step());
  t.deepEqual(ids.map(id => summary(simulation.replies.get(id)).slice(0, 3)), ['job', 'job'])
  t.is(simulation.committed.filter(({ kind }) => kind === 'place_job').length, 1)
  t.is(summary(requestResult(simulation, { kind: 'submit_job', spec: job('j0', { tasks: 1 }) })), 'job_exists')
  const impossible = { kind: 'submit_job', spec: job('j1', { acceleratorModel: 'none' }) } as const
  t.is(summary(requestResult(simulation, impossible)), 'impossible_shape')
  t.is(simulation.state.job('j1'), undefined)
})

test('a rejected proposal is answered with an unknown outcome unless it certainly was not applied', t => {
  const operations: ControlOperation[] = [
    { kind: 'submit_job', spec: job('j0') },
    { kind: 'claim_request', organisationId: 'o1', key: KEY, digest: 'd', claimantId: 'a' }
  ]
  const answersTo = (outcome: 'not_applied' | 'unknown'): string[] => operations.map(operation => {
    const simulation = startedSimulation()
    const requestId = simulation.request(operation)
    for (const { proposalId } of simulation.proposals.splice(0)) {
      simulation.dispatch({ kind: 'proposal_rejected', proposalId, outcome })
    }
    return summary(simulation.replies.get(requestId))
  })
  t.deepEqual(answersTo('unknown'), ['outcome_unknown', 'outcome_unknown'])
  t.deepEqual(answersTo('not_applied'), ['control_unavailable', 'control_unavailable'])
})

test('closing a leader answers all pending requests, so that no caller waits in vain', t => {
  const simulation = startedSimulation()
  simulation.request({ kind: 'submit_job', spec: job('j0') })
  simulation.request({ kind: 'claim_request', organisationId: 'o1', key: KEY, digest: 'd', claimantId: 'a' })
  const replies = simulation.leader.close(simulation.nowMs).filter(({ kind }) => kind === 'reply')
  t.is(replies.length, 2)
})

test('of two simultaneous claims of a key one is granted, and the other gets the state of the claim', t => {
  const simulation = startedSimulation()
  const claim = { kind: 'claim_request', organisationId: 'o1', key: KEY, digest: 'd', claimantId: 'a' } as const
  const ids = ['a', 'b'].map(claimantId => simulation.request({ ...claim, claimantId }))
  while (simulation.step());
  t.deepEqual(ids.map(id => summary(simulation.replies.get(id))), ['granted', 'claim pending'])
  const settle = { kind: 'settle_claim', organisationId: 'o1', key: KEY, claimantId: 'a', state: 'not_run', answer: null } as const
  t.is(summary(requestResult(simulation, settle)), 'done')
  t.is(summary(requestResult(simulation, { kind: 'get_claim', organisationId: 'o1', key: KEY })), 'claim not_run')
  t.is(summary(requestResult(simulation, { ...claim, claimantId: 'c' })), 'granted')
  t.is(summary(requestResult(simulation, { ...claim, claimantId: 'b' })), 'claim pending')
})

test('a cancellation that races with the placement ends the job before it starts', t => {
  const simulation = startedSimulation()
  simulation.request({ kind: 'submit_job', spec: job('j0') })
  simulation.advance(10)
  simulation.commit()
  t.true(simulation.proposals.some(({ command }) => command.kind === 'place_job'))
  const requestId = simulation.request({ kind: 'cancel_job', jobId: 'j0' })
  while (simulation.step());
  t.is(summary(simulation.replies.get(requestId)), 'job stopping')
  t.true(isInPhase(simulation, 'j0', 'ended'))
  t.is(simulation.executionRecord.executions.length, 0)
  t.true(simulation.scheduler.calls.includes('ended j0'))
})

test('a reclaim before the placement of its job is committed takes effect, and the scheduler is notified of its end', t => {
  const simulation = startedSimulation()
  simulation.request({ kind: 'submit_job', spec: job('j0') })
  t.is(simulation.proposals.at(-1)?.command.kind, 'place_job')
  simulation.scheduler.extraDecisions.push({ kind: 'reclaim', jobId: 'j0', method: 'stop', forJobId: 'j1', reason: 'lent' })
  simulation.request({ kind: 'submit_job', spec: job('j1', { tasks: 9 }) })
  simulation.advance(10)
  t.is(simulation.scheduler.extraDecisions.length, 0)
  while (simulation.step());
  t.true(simulation.scheduler.calls.includes('reclaimed j0'))
})

test('a placement that is reported as rejected but committed after all is adopted, and no second one is made', t => {
  const simulation = startedSimulation()
  simulation.request({ kind: 'submit_job', spec: job('j0') })
  simulation.commit()
  const [place] = simulation.proposals
  simulation.dispatch({ kind: 'proposal_rejected', proposalId: place?.proposalId ?? '' })
  simulation.run(800)
  t.is(simulation.state.job('j0')?.outcome, 'completed')
  t.is(simulation.executionRecord.executions.length, 2)
  t.true(simulation.scheduler.calls.includes('restore j0'))
})

test('a checkpoint that does not finish in time is replaced by a stop within the reclaim limit', t => {
  const simulation = startedSimulation()
  simulation.request({ kind: 'submit_job', spec: job('j0', { tasks: 1, preemption: 'checkpoint' }) })
  while (simulation.step());
  simulation.worker('w0').isPartitioned = true
  simulation.scheduler.extraDecisions.push({ kind: 'reclaim', jobId: 'j0', method: 'checkpoint', forJobId: 'j1', reason: 'lent' })
  simulation.request({ kind: 'submit_job', spec: job('j1', { tasks: 1 }) })
  simulation.advance(20)
  while (simulation.proposals.length > 0) simulation.commit()
  t.deepEqual(sentOrderKinds(simulation).filter(kind => kind !== 'prepare'), ['checkpoint'])
  simulation.messages.splice(0)
  simulation.advance(400)
  t.true(sentOrderKinds(simulation).includes('stop'))
})

test('worker reports that change nothing commit only the commands that prove leadership', t => {
  const simulation = startedSimulation()
  const before = simulation.committed.length
  simulation.run(5_000)
  t.deepEqual(new Set(simulation.committed.slice(before).map(({ kind }) => kind)), new Set(['clock']))
})

test('a report is answered only once leadership is proven, and refused if it cannot be proven', t => {
  const simulation = startedSimulation()
  simulation.advance(1_000)
  simulation.proposals = []
  const report = simulation.worker('w0').report(simulation.nowMs)
  const first = simulation.request({ kind: 'report_worker', report })
  t.is(simulation.replies.get(first), undefined)
  const proof = simulation.proposals.at(-1)
  simulation.dispatch({ kind: 'proposal_rejected', proposalId: proof?.proposalId ?? '' })
  t.is(summary(simulation.replies.get(first)), 'control_unavailable')
  t.is(summary(requestResult(simulation, { kind: 'report_worker', report })), 'worker_lease')
})

test('a report of an earlier process or an unlisted worker gets no lease, and unallocated tasks are to be stopped', t => {
  const simulation = startedSimulation()
  const report = simulation.worker('w0').report(simulation.nowMs)
  const unallocated = { jobId: 'gone', taskIndex: 0, leaseId: 3, state: 'running' } as const
  const result = requestResult(simulation, { kind: 'report_worker', report: { ...report, tasks: [unallocated] } })
  t.like(result, { ok: true, value: { leaseMs: 1_000, stopTasks: [{ jobId: 'gone', taskIndex: 0, leaseId: 3 }] } })
  const old = { ...report, incarnation: 0 }
  t.is(summary(requestResult(simulation, { kind: 'report_worker', report: old })), 'stale_term')
  t.is(summary(requestResult(simulation, { kind: 'report_worker', report: { ...report, workerId: 'w9' } })), 'not_found')
})

test('a job that fails on every worker ends as failed, and the scheduler is notified of each failure', t => {
  const simulation = startedSimulation()
  for (const worker of simulation.workers) worker.behaviour = 'fails'
  simulation.request({ kind: 'submit_job', spec: job('j0', { tasks: 1 }) })
  simulation.run(5_000)
  t.is(simulation.state.job('j0')?.outcome, 'failed')
  t.is(simulation.scheduler.calls.filter(call => call.startsWith('taskFailed j0')).length, 6) // MAX_JOB_FAILURES of the fake scheduler
})

test('a worker that refuses every placement does not block a gang that fits elsewhere', t => {
  const simulation = startedSimulation()
  simulation.worker('w0').behaviour = 'refuses'
  simulation.request({ kind: 'submit_job', spec: job('j0') })
  simulation.run(800)
  t.is(simulation.state.job('j0')?.outcome, 'completed')
  t.false(simulation.executionRecord.executions.some(({ workerId }) => workerId === 'w0'))
})

test('a worker that is drained or leaves gets no new tasks and keeps its running tasks', t => {
  const simulation = startedSimulation(2)
  simulation.request({ kind: 'submit_job', spec: job('j0') })
  while (simulation.step());
  t.is(summary(requestResult(simulation, { kind: 'drain', drain: { kind: 'worker', id: 'w0' } })), 'done')
  t.is(summary(requestResult(simulation, { kind: 'leave_worker', workerId: 'w1' })), 'done')
  simulation.request({ kind: 'submit_job', spec: job('j1', { tasks: 1 }) })
  simulation.run(1_000)
  t.is(simulation.state.job('j0')?.outcome, 'completed')
  t.true(isInPhase(simulation, 'j1', 'waiting'))
  t.is(simulation.committed.filter(({ kind }) => kind === 'place_job').length, 1)
  t.is(summary(requestResult(simulation, { kind: 'undrain', drain: { kind: 'worker', id: 'w0' } })), 'done')
  simulation.run(1_000)
  t.is(simulation.state.job('j1')?.outcome, 'completed')
})

test('a worker removed from the inventory releases its gang and is deleted once its cells are free', t => {
  const simulation = startedSimulation()
  simulation.workers.forEach(worker => { worker.runMs = 900 })
  simulation.request({ kind: 'submit_job', spec: job('j0') })
  while (simulation.step());
  const change = { version: 2, baseVersion: 1, upserts: [], removes: [{ kind: 'worker' as const, id: 'w0' }] }
  t.is(summary(requestResult(simulation, { kind: 'apply_change', change, isDryRun: true })), 'configuration_accepted')
  t.is(simulation.state.configuration.version, 1)
  t.is(summary(requestResult(simulation, { kind: 'apply_change', change, isDryRun: false })), 'configuration_accepted')
  t.is(summary(requestResult(simulation, { kind: 'apply_change', change, isDryRun: false })), 'configuration_accepted')
  simulation.run(2_000)
  t.is(simulation.state.worker('w0'), undefined)
  t.is(simulation.state.job('j0')?.outcome, 'completed')
  t.is(simulation.executionRecord.executions.filter(({ workerId }) => workerId === 'w0').length, 1)
})

test('of two changes with the same version one is accepted, and resending them gives the same answers', t => {
  const simulation = startedSimulation()
  const changeTo = (quotaAccelerators: number) => ({
    kind: 'apply_change' as const,
    isDryRun: false,
    change: {
      version: 2,
      baseVersion: 1,
      upserts: [{ kind: 'organisation' as const, record: { organisationId: 'o1', quotaAccelerators, weight: 1 } }],
      removes: []
    }
  })
  const ids = [5, 6].map(quota => simulation.request(changeTo(quota)))
  simulation.commitAll()
  const answers = ids.map(id => summary(simulation.replies.get(id)))
  t.deepEqual(answers, ['configuration_accepted', 'version_conflict'])
  t.deepEqual([5, 6].map(quota => summary(requestResult(simulation, changeTo(quota)))), answers)
  t.is(simulation.state.configuration.organisations.get('o1')?.quotaAccelerators, 5)
})

test('read operations return all jobs or those in a phase, an explanation, the fleet and the configuration', t => {
  const simulation = startedSimulation()
  simulation.request({ kind: 'submit_job', spec: job('j0', { tasks: 9 }) })
  simulation.request({ kind: 'submit_job', spec: job('j1') })
  simulation.run(100)
  const list = requestResult(simulation, { kind: 'list_jobs', phase: 'waiting', organisationId: 'o1', limit: 5 })
  t.like(list, { ok: true, value: { total: 1, jobs: [{ spec: { jobId: 'j0' } }] } })
  t.like(requestResult(simulation, { kind: 'list_jobs', limit: 1 }), { ok: true, value: { total: 2 } })
  t.is(summary(requestResult(simulation, { kind: 'explain_job', jobId: 'j0' })), 'explanation')
  t.is(summary(requestResult(simulation, { kind: 'get_job', jobId: 'j9' })), 'not_found')
  t.like(requestResult(simulation, { kind: 'get_fleet' }), { ok: true, value: { workers: [{ workerId: 'w0', tasks: 1 }] } })
  t.like(requestResult(simulation, { kind: 'get_configuration' }), { ok: true, value: { version: 1 } })
  t.like(requestResult(simulation, { kind: 'get_configuration_status' }), { ok: true, value: { status: { version: 1 } } })
})

/** Scheduler that iterates over all jobs at each cancellation. */
class LinearScanScheduler extends FakeScheduler {
  readonly #jobIds = new Set<string>()

  override submit (...args: Parameters<FakeScheduler['submit']>): ReturnType<FakeScheduler['submit']> {
    this.#jobIds.add(args[0].jobId)
    return super.submit(...args)
  }

  override cancel (jobId: string): void {
    super.cancel(jobId)
    this.#jobIds.forEach(() => this.#jobIds.has(jobId))
    this.#jobIds.delete(jobId)
  }
}

/** Counts the operations for cancelling `count` waiting jobs. */
function cancellationCost (count: number, scheduler: FakeScheduler): number {
  const simulation = new Simulation({ scheduler })
  for (let number = 0; number < count; number += 1) {
    // A gang of 60 tasks does not fit on the workers, so that every job keeps waiting.
    simulation.request({ kind: 'submit_job', spec: job(`j${number}`, { tasks: 60 }) })
  }
  // Time does not advance, so that no pass of the fake scheduler, which iterates over all jobs, runs in between.
  simulation.commitAll()
  const operations = countOperations(() => {
    for (let number = 0; number < count; number += 1) simulation.request({ kind: 'cancel_job', jobId: `j${number}` })
    simulation.commitAll()
  })
  if (simulation.state.jobIdsInPhase('ended').size !== count) throw new Error('not every job was cancelled')
  return operations
}

/** Factor by which the cost may exceed 4 times that of a quarter of the jobs and still counts as linear. */
const LINEAR_TOLERANCE = 1.15

test('cancelling 10,000 jobs takes no more operations per job than cancelling 2,500', t => {
  const ratio = cancellationCost(10_000, new FakeScheduler()) / cancellationCost(2_500, new FakeScheduler())
  t.true(ratio < 4 * LINEAR_TOLERANCE, `${ratio}`)
})

test('the operation count detects a scheduler that iterates over all jobs at each cancellation', t => {
  const ratio = cancellationCost(1_000, new LinearScanScheduler()) / cancellationCost(250, new LinearScanScheduler())
  t.true(ratio > 4 * LINEAR_TOLERANCE, `${ratio}`)
})

test('an idle leader requests its next wake-up in the future, so that it does not run in a busy loop', t => {
  const simulation = startedSimulation()
  t.true(simulation.leader.nextWakeAtMs() > simulation.nowMs)
  t.true(simulation.leader instanceof ControlLeader)
})
