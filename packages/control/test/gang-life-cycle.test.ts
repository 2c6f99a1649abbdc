import test from 'ava'
import fc from 'fast-check'
import type { JobPhase, TaskState } from '@comfreygrade/core'
import type { ControlSettings } from '../src/index.js'
import {
  findConcurrentRuns, findPartialGangs, findRepeatedRuns, findSharedAccelerators, findWrongOutcomes, findViolations
} from './execution-checks.js'
import type { WorkerBehaviour } from './fake-worker.js'
import { job, Simulation, type Message, type SimulationOptions } from './simulation.js'

function violations (simulation: Simulation): string[] {
  return findViolations(simulation.executionRecord, [...simulation.state.jobs()], simulation.nowMs)
}

/** Creates a simulation whose workers have leases and whose jobs are submitted, but not committed yet. */
function simulationWithJobs (options?: SimulationOptions): Simulation {
  const simulation = new Simulation(options)
  simulation.run(200)
  simulation.request({ kind: 'submit_job', spec: job('gang', { tasks: 3 }) })
  simulation.request({ kind: 'submit_job', spec: job('once', { preemption: 'none' }) })
  return simulation
}

test('a stop order that a worker refuses is not resent in a loop without time passing', t => {
  const simulation = simulationWithJobs()
  while (simulation.step());
  simulation.worker('w0').restart(simulation.nowMs)
  simulation.request({ kind: 'cancel_job', jobId: 'gang' })
  let steps = 0
  while (simulation.step() && steps < 200) steps += 1
  t.true(steps < 200, `${steps} steps without any time passing`)
})

/** Injects faults and requests into a simulation; called before each step. */
type FaultInjector = (simulation: Simulation) => void

/** Restarts a worker while a gang starts, reclaims another job while it runs, and cancels that job while it stops. */
function createFaultInjector (): FaultInjector {
  const faults: Array<readonly [jobId: string, phase: JobPhase, act: FaultInjector]> = [
    ['once', 'starting', simulation => simulation.worker('w1').restart(simulation.nowMs)],
    ['once', 'stopping', simulation => simulation.request({ kind: 'submit_job', spec: job('lent', { preemption: 'checkpoint' }) })],
    ['lent', 'running', simulation => simulation.scheduler.extraDecisions.push(
      { kind: 'reclaim', jobId: 'lent', method: 'checkpoint', forJobId: 'gang', reason: 'lent' })],
    ['lent', 'stopping', simulation => simulation.request({ kind: 'cancel_job', jobId: 'lent' })]
  ]
  return simulation => {
    const [next] = faults
    if (next === undefined || simulation.state.job(next[0])?.phase !== next[1]) return
    faults.shift()
    next[2](simulation)
  }
}

/**
 * Takes up to `count` steps, in which all workers report whenever no message or proposal is left. Ends after 30 such
 * rounds, which take 1.5 s of simulated time.
 */
function takeSteps (simulation: Simulation, count: number, injectFaults: FaultInjector = () => {}): number {
  let taken = 0
  for (let idle = 0; taken < count && idle < 30; taken += 1) {
    injectFaults(simulation)
    if (simulation.step()) continue
    idle += 1
    simulation.advance(50)
    for (const worker of simulation.workers) simulation.sendReport(worker)
  }
  return taken
}

test('without faults every gang runs as a whole and ends as completed', t => {
  const simulation = simulationWithJobs()
  simulation.recover()
  t.deepEqual(violations(simulation), [])
  t.deepEqual([...simulation.state.jobs()].map(({ outcome }) => outcome), ['completed', 'completed'])
  t.is(simulation.executionRecord.executions.length, 5)
})

// 99 exceeds the number of proposals in flight, so that all of them are committed.
for (const committedCount of [0, 1, 99]) {
  for (const delivery of ['dropped', 'late', 'to the former leader'] as const) {
    test(`replacing the leader after any step loses no job and runs no gang partially: at most ${committedCount} proposals committed, messages ${delivery}`, t => {
      const total = takeSteps(simulationWithJobs(), Number.POSITIVE_INFINITY)
      t.true(total > 60, `${total} steps`)
      for (let steps = 0; steps < total; steps += 1) {
        const simulation = simulationWithJobs()
        takeSteps(simulation, steps)
        const inTransit = simulation.messages.splice(0)
        simulation.replaceLeader(committedCount)
        if (delivery !== 'dropped') simulation.messages.push(...inTransit)
        if (delivery === 'to the former leader') inTransit.forEach(() => simulation.deliver(0, false, true))
        simulation.recover()
        t.deepEqual(violations(simulation), [], `replaced after ${steps} steps`)
      }
    })
  }
}

// Both times, 30 ms and the default of 300 ms, end before the lease of a silent worker, which lasts 1,000 ms.
for (const settings of [{}, { unstartedReleaseWaitMs: 30 }]) {
  const name = `unstartedReleaseWaitMs ${settings.unstartedReleaseWaitMs ?? 'default'}`
  test(`replacing the leader after any step of a restart, a reclaim and a cancellation loses no job and runs no gang partially: ${name}`, t => {
    const total = takeSteps(simulationWithJobs({ settings }), Number.POSITIVE_INFINITY, createFaultInjector())
    for (let steps = 0; steps < total; steps += 1) {
      const simulation = simulationWithJobs({ settings })
      takeSteps(simulation, steps, createFaultInjector())
      const inTransit = simulation.messages.splice(0)
      simulation.replaceLeader(steps % 3)
      simulation.messages.push(...inTransit)
      simulation.recover()
      t.deepEqual(violations(simulation), [], `replaced after ${steps} steps`)
    }
  })
}

test('replacing the leader twice in a row after any step loses no job and runs no gang partially', t => {
  const total = takeSteps(simulationWithJobs(), Number.POSITIVE_INFINITY)
  for (let steps = 0; steps < total; steps += 1) {
    const simulation = simulationWithJobs()
    takeSteps(simulation, steps)
    simulation.replaceLeader(1)
    takeSteps(simulation, 7)
    simulation.replaceLeader(0)
    simulation.recover()
    t.deepEqual(violations(simulation), [], `replaced after ${steps} steps`)
  }
})

for (const fault of ['lost', 'duplicated', 'late'] as const) {
  test(`a single message that is ${fault} loses no job and runs no gang partially`, t => {
    const total = takeSteps(simulationWithJobs(), Number.POSITIVE_INFINITY)
    for (let steps = 0; steps < total; steps += 1) {
      const simulation = simulationWithJobs()
      takeSteps(simulation, steps)
      const message = simulation.messages[0]
      if (message === undefined || simulation.proposals.length > 0) continue
      if (fault === 'duplicated') simulation.deliver(0, true)
      else simulation.drop(0)
      simulation.run(fault === 'late' ? 400 : 0)
      if (fault === 'late') simulation.messages.push(message)
      simulation.recover()
      t.deepEqual(violations(simulation), [], `fault after ${steps} steps`)
    }
  })
}

type Action = readonly [
  kind: 'commit' | 'deliver' | 'duplicate' | 'drop' | 'deliverToFormer' | 'advance' | 'report' | 'crash' | 'restart' | 'freeze' |
  'resume' | 'partition' | 'reconnect' | 'refuse' | 'fail' | 'work' | 'replace' | 'submit' | 'cancel' | 'reclaim' | 'drain' | 'run',
  value: number
]

const actionWeights: ReadonlyArray<readonly [Action[0], number]> = [
  ['commit', 30], ['deliver', 30], ['duplicate', 6], ['drop', 4], ['deliverToFormer', 6], ['advance', 12], ['report', 16], ['crash', 1],
  ['restart', 2], ['freeze', 3], ['resume', 3], ['partition', 3], ['reconnect', 3], ['refuse', 1], ['fail', 1], ['work', 2], ['replace', 3], ['submit', 6],
  ['cancel', 2], ['reclaim', 3], ['drain', 1], ['run', 8]
]

const actions = fc.array(fc.tuple(
  fc.oneof(...actionWeights.map(([kind, weight]) => ({ weight, arbitrary: fc.constant(kind) }))),
  fc.nat(999)
), { minLength: 80, maxLength: 160 })

function performAction (simulation: Simulation, [kind, value]: Action): void {
  const worker = simulation.workers[value % simulation.workers.length]
  const position = simulation.messages.length === 0 ? 0 : value % simulation.messages.length
  const jobId = `j${value % 6}`
  if (worker === undefined) return
  switch (kind) {
    case 'commit': simulation.commit(); break
    case 'deliver': simulation.deliver(position); break
    case 'duplicate': simulation.deliver(position, true); break
    case 'drop': simulation.drop(position); break
    case 'deliverToFormer': simulation.deliver(position, false, true); break
    case 'advance': simulation.advance(value); break
    case 'report': simulation.sendReport(worker); break
    case 'crash': worker.crash(simulation.nowMs); break
    case 'restart': worker.restart(simulation.nowMs); break
    case 'freeze': worker.freeze(simulation.nowMs); break
    case 'resume': worker.resume(simulation.nowMs); break
    case 'partition': worker.isPartitioned = true; break
    case 'reconnect': worker.isPartitioned = false; break
    case 'refuse': worker.behaviour = 'refuses'; break
    case 'fail': worker.behaviour = 'fails'; break
    case 'work': worker.behaviour = 'works'; break
    case 'replace': simulation.replaceLeader(value % 4); break
    case 'submit': simulation.request({ kind: 'submit_job', spec: randomJob(jobId, value) }); break
    case 'cancel': simulation.request({ kind: 'cancel_job', jobId }); break
    case 'reclaim': simulation.scheduler.extraDecisions.push({ kind: 'reclaim', jobId, method: value % 2 === 0 ? 'checkpoint' : 'stop', forJobId: 'other', reason: 'lent' }); break
    case 'drain': simulation.request({ kind: value % 2 === 0 ? 'drain' : 'undrain', drain: { kind: 'worker', id: worker.workerId } }); break
    case 'run': simulation.run(200); break
  }
}

function randomJob (jobId: string, value: number) {
  const preemption = (['none', 'repeat', 'checkpoint'] as const)[value % 3]
  return job(jobId, { preemption, tasks: 1 + value % 3, acceleratorsPerTask: value % 2 === 0 ? 2 : 4 })
}

function runActions (list: readonly Action[], options?: SimulationOptions): Simulation {
  const simulation = new Simulation({ workers: 5, ...options })
  simulation.workers.forEach((worker, position) => { worker.runMs = 400 + 700 * (position % 3) })
  simulation.run(200)
  for (const action of list) performAction(simulation, action)
  for (const worker of simulation.workers) {
    simulation.request({ kind: 'undrain', drain: { kind: 'worker', id: worker.workerId } })
  }
  simulation.recover()
  return simulation
}

// With 60,000 ms, far above the lease of 1,000 ms, the release of a gang that never started waits for its workers or
// for the expiry of their leases; with 30 ms it does not.
for (const unstartedReleaseWaitMs of [60_000, 30]) {
  test(`under random faults and new leaders no gang runs partially or in two placements at once, and no non-repeatable one runs again: unstartedReleaseWaitMs ${unstartedReleaseWaitMs}`, t => {
    fc.assert(fc.property(actions, list => {
      const problems = violations(runActions(list, { settings: { unstartedReleaseWaitMs } }))
      if (problems.length > 0) throw new Error(problems.join('\n'))
    }), { seed: 20_261_204, numRuns: 300 })
    t.pass()
  })
}

test('an urgent job placed on a silent worker starts elsewhere without waiting for the lease to expire', t => {
  const startAfter = (unstartedReleaseWaitMs: number): number => {
    const simulation = new Simulation({ workers: 4, settings: { unstartedReleaseWaitMs } })
    simulation.run(200)
    simulation.worker('w0').isPartitioned = true
    simulation.request({ kind: 'submit_job', spec: job('urgent', { priority: 'urgent' }) })
    simulation.run(2_000)
    return (simulation.executionRecord.executions[0]?.startMs ?? Number.POSITIVE_INFINITY) - 200
  }
  t.true(startAfter(30) < 500)
  t.true(startAfter(60_000) > 500)
})

test('the check for concurrent runs detects a leader that does not wait for a lease to expire', t => {
  t.deepEqual(findConcurrentRuns(runWithPartitionedWorker({}).executionRecord), [])
  // Reduces the time that the leader waits for the expiry to a tenth of the lease.
  t.not(findConcurrentRuns(runWithPartitionedWorker({ settings: { clockRateBound: -0.9 } }).executionRecord).length, 0)
})

test('a stopping gang is not started elsewhere while its task on a silent worker may still run', t => {
  const simulation = runWithPartitionedWorker({}, partitioned => partitioned.worker('w0').restart(partitioned.nowMs))
  t.deepEqual(findConcurrentRuns(simulation.executionRecord), [])
  t.is(new Set(simulation.executionRecord.executions.map(({ leaseId }) => leaseId)).size, 2)
})

test('reports sent before a placement do not release its tasks', t => {
  const simulation = new Simulation({ workers: 5 })
  for (const worker of simulation.workers) worker.runMs = 5_000
  simulation.run(200)
  simulation.sendReport(simulation.worker('w1'))
  simulation.sendReport(simulation.worker('w1'))
  const earlyReports = simulation.messages.splice(0)
  simulation.request({ kind: 'submit_job', spec: job('gang') })
  while (simulation.step());
  t.is(simulation.executionRecord.executions.length, 2)
  simulation.request({ kind: 'drain', drain: { kind: 'worker', id: 'w1' } })
  simulation.messages.push(...earlyReports)
  while (simulation.messages.some(({ kind }) => kind === 'report')) simulation.deliver(0)
  simulation.worker('w1').isPartitioned = true
  simulation.run(3_000)
  t.deepEqual(findConcurrentRuns(simulation.executionRecord), [])
})

/** Partitions a worker with a slow clock while it runs a task of a gang, which is then started on other workers. */
function runWithPartitionedWorker (
  options: SimulationOptions,
  onPartition: (simulation: Simulation) => void = () => {}
): Simulation {
  const simulation = new Simulation({ ...options, workers: 5 })
  for (const worker of simulation.workers) worker.runMs = 5_000
  simulation.run(200)
  simulation.request({ kind: 'submit_job', spec: job('gang', { tasks: 2 }) })
  simulation.run(300)
  simulation.worker('w1').isPartitioned = true
  onPartition(simulation)
  simulation.run(3_000)
  return simulation
}

test('the check for concurrent runs detects a former leader that renews leases whose expiry its successor counts', t => {
  t.deepEqual(findConcurrentRuns(runWithFormerLeader({}).executionRecord), [])
  t.not(findConcurrentRuns(runWithFormerLeader({ leadershipValidMs: 60_000 }).executionRecord).length, 0)
})

/** Delivers the reports of one worker to a former leader, which resumed after its successor had started. */
function runWithFormerLeader (settings: Partial<ControlSettings>): Simulation {
  const simulation = new Simulation({ settings, workers: 4 })
  for (const worker of simulation.workers) worker.runMs = 5_000
  simulation.run(200)
  simulation.request({ kind: 'submit_job', spec: job('gang', { tasks: 2 }) })
  simulation.run(300)
  simulation.replaceLeader()
  for (let round = 0; round < 20; round += 1) {
    simulation.sendReport(simulation.worker('w1'))
    simulation.deliver(simulation.messages.length - 1, false, true)
    for (let position = 0; position < simulation.messages.length; position += 1) {
      if (simulation.messages[position]?.kind === 'lease') simulation.deliver(position)
    }
    simulation.worker('w1').isPartitioned = true
    simulation.run(100)
    simulation.worker('w1').isPartitioned = false
  }
  return simulation
}

test('the check for shared accelerators detects a worker that continues after it confirmed a stop', t => {
  const run = (behaviour: WorkerBehaviour): Simulation => {
    const simulation = new Simulation({ workers: 2 })
    simulation.run(200)
    for (const worker of simulation.workers) Object.assign(worker, { behaviour, runMs: 2_000 })
    simulation.request({ kind: 'submit_job', spec: job('first') })
    simulation.run(200)
    simulation.request({ kind: 'cancel_job', jobId: 'first' })
    simulation.request({ kind: 'submit_job', spec: job('second') })
    simulation.run(1_000)
    return simulation
  }
  t.deepEqual(findSharedAccelerators(run('works').executionRecord), [])
  t.not(findSharedAccelerators(run('ignores_stop').executionRecord).length, 0)
})

test('the check for partial gangs detects a refused preparation that is delivered as accepted', t => {
  const run = (intercept: (message: Message) => Message): string[] => {
    const simulation = new Simulation({ intercept })
    simulation.run(200)
    simulation.worker('w1').behaviour = 'refuses'
    simulation.request({ kind: 'submit_job', spec: job('gang', { tasks: 3 }) })
    simulation.run(400)
    return findPartialGangs(simulation.executionRecord, [...simulation.state.jobs()])
  }
  t.deepEqual(run(message => message), [])
  t.not(run(message => message.kind === 'answer' ? { ...message, results: message.results.map(() => 'accepted') } : message).length, 0)
})

test('the check for repeated runs detects a job that starts again', t => {
  const run = (preemption: 'none' | 'repeat'): string[] => {
    const simulation = new Simulation()
    simulation.run(200)
    simulation.request({ kind: 'submit_job', spec: job('charge', { preemption }) })
    simulation.run(200)
    simulation.worker('w0').restart(simulation.nowMs)
    simulation.recover()
    const jobs = [...simulation.state.jobs()].map(record => ({ ...record, spec: job('charge', { preemption: 'none' }) }))
    return findRepeatedRuns(simulation.executionRecord, jobs)
  }
  t.deepEqual(run('none'), [])
  t.not(run('repeat').length, 0)
})

test('the check for wrong outcomes detects a gang that is reported as completed while it runs', t => {
  const run = (state: TaskState): string[] => {
    const intercept = (message: Message): Message => message.kind === 'report'
      ? { ...message, report: { ...message.report, tasks: message.report.tasks.map(task => ({ ...task, state: task.state === 'running' ? state : task.state })) } }
      : message
    const simulation = new Simulation({ intercept })
    simulation.workers.forEach(worker => { worker.runMs = 900 })
    simulation.run(200)
    simulation.request({ kind: 'submit_job', spec: job('gang') })
    simulation.recover()
    return findWrongOutcomes(simulation.executionRecord, [...simulation.state.jobs()], simulation.nowMs)
  }
  t.deepEqual(run('running'), [])
  t.not(run('completed').length, 0)
})
