/**
 * Program of the tests in waiting-tasks.test.ts: a leader with a full fleet and a backlog of the kind that the first
 * argument names. Ends with code 0 if it survives some passes and then still answers.
 */
import { LeaderFixture, runningTasks } from './leader-fixture.js'
import { HOST, KEY, step } from './sample-data.js'
import type { JobSpec } from '../src/index.js'

const WORKER_IDS = ['w0', 'w1', 'w2', 'w3']
const ROUNDS = 6

type BacklogKind = 'recurring' | 'dependent' | 'wide' | 'large_schedule'

/** Jobs whose tasks are all due; there are between one and two million of them, or more of one job. */
const BACKLOGS: Readonly<Record<BacklogKind, { readonly jobs: number, readonly spec: Omit<JobSpec, 'jobId'> }>> = {
  recurring: { jobs: 30, spec: recurring([step({ taskCount: 60 })], 1_000) },
  dependent: { jobs: 30, spec: recurring([step({ taskCount: 60 }), step({ taskCount: 60, dependsOn: [0] })], 1_000) },
  wide: { jobs: 100, spec: { payload: '', steps: [step({ taskCount: 19_000 })] } },
  large_schedule: { jobs: 1, spec: recurring([step({ taskCount: 20_000 })], 10_000) }
}

function recurring (steps: JobSpec['steps'], occurrences: number): Omit<JobSpec, 'jobId'> {
  return { payload: '', steps, schedule: { firstDueMs: 0, intervalMs: 1_000, occurrences } }
}

const { jobs, spec } = BACKLOGS[process.argv[2] as BacklogKind]
const fixture = new LeaderFixture()
const request = (jobId: string) => ({ host: HOST, path: `/normal/${jobId}`, apiKey: KEY })
for (let index = 0; index < jobs; index++) {
  const result = fixture.execute({ kind: 'submit', request: request(`j${index}`), spec })
  if (result?.ok !== true) throw new Error(`job ${index} was refused: ${JSON.stringify(result)}`)
}
const running = new Map<string, ReturnType<typeof runningTasks>>()
for (let round = 0; round < ROUNDS; round++) {
  for (const workerId of WORKER_IDS) {
    const tasks = (running.get(workerId) ?? []).map(task => ({ ...task, percent: task.percent + 1 }))
    const orders = fixture.heartbeat(workerId, { running: tasks })
    running.set(workerId, [...tasks, ...runningTasks(orders?.starts ?? [])])
  }
}
const startedTasks = [...running.values()].reduce((sum, tasks) => sum + tasks.length, 0)
const state = fixture.execute({ kind: 'job_state', request: request('j0') })
process.exitCode = startedTasks === WORKER_IDS.length * 8 && state?.ok === true ? 0 : 1
