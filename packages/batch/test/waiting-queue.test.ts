/** The queue of a scheduling pass against a list of all steps that wait. */
import test from 'ava'
import fc from 'fast-check'
import { ManualClock } from '@comfreygrade/core'
import {
  BatchState, defaultBatchSettings, plainPolicies, type Assignment, type JobSpec, type StepSpec
} from '../src/index.js'
import { GuaranteeCoverage } from '../src/guarantee-coverage.js'
import { ObjectiveSchedulingOrder } from '../src/scheduling-order.js'
import { WaitingQueue } from '../src/waiting-queue.js'
import { hasWaitingTasks, queuedStep, type QueuedStep } from '../src/waiting-steps.js'
import { waitingStepKey } from '../src/worker-selection.js'
import { document, HOST, step } from './sample-data.js'

const NOW_WALL_MS = 1_700_000_000_000
const LIFE = { workerId: 'w1', incarnation: 1_000 }
const order = new ObjectiveSchedulingOrder()

interface DrawnSchedule {
  readonly dueSinceMs: number
  readonly intervalMs: number
  readonly occurrences: number
}

interface DrawnJob {
  readonly steps: readonly Partial<StepSpec>[]
  /** Undefined for a job without a schedule. */
  readonly schedule: DrawnSchedule | undefined
  readonly acceptedAgoMs: number
  readonly isUrgent: boolean
  /** Occurrences of which the first task runs. */
  readonly running: readonly number[]
  /** Occurrences of which the first step is done. */
  readonly done: readonly number[]
}

const STEP = fc.record({
  taskCount: fc.integer({ min: 1, max: 3 }),
  estimateMs: fc.integer({ min: 100, max: 20_000 }),
  isGang: fc.boolean(),
  dependsOn: fc.constantFrom([], [0])
})

const JOB: fc.Arbitrary<DrawnJob> = fc.record({
  steps: fc.array(STEP, { minLength: 1, maxLength: 3 })
    .map(([first, ...rest]) => [{ ...first, dependsOn: [] }, ...rest]),
  schedule: fc.option(fc.record({
    dueSinceMs: fc.integer({ min: -5_000, max: 60_000 }),
    intervalMs: fc.integer({ min: 0, max: 5_000 }),
    occurrences: fc.integer({ min: 1, max: 40 })
  }), { nil: undefined }),
  acceptedAgoMs: fc.integer({ min: 0, max: 60_000 }),
  isUrgent: fc.boolean(),
  running: fc.array(fc.nat({ max: 10 }), { maxLength: 3 }),
  done: fc.array(fc.nat({ max: 10 }), { maxLength: 3 })
})

function createState (jobs: readonly DrawnJob[]): BatchState {
  const state = new BatchState(defaultBatchSettings)
  state.apply({ kind: 'put_configuration', document: document() }, 0)
  for (const [index, drawn] of jobs.entries()) submit(state, `j${index}`, drawn)
  return state
}

function submit (state: BatchState, jobId: string, drawn: DrawnJob): void {
  const { steps, schedule, acceptedAgoMs, isUrgent, running, done } = drawn
  const spec: JobSpec = {
    jobId,
    payload: '',
    steps: steps.map(fields => step(fields)),
    schedule: schedule && { ...schedule, firstDueMs: NOW_WALL_MS - schedule.dueSinceMs }
  }
  const queueAddress = `${HOST}${isUrgent ? '/urgent/' : '/normal/'}`
  const acceptedWallMs = NOW_WALL_MS - acceptedAgoMs
  state.apply({ kind: 'submit_job', spec, queueAddress, organisation: 'org-a', acceptedWallMs }, 0)
  const firstTasks = (occurrences: readonly number[], count: number): Assignment[] => occurrences.flatMap(occurrence =>
    Array.from({ length: count }, (_unused, index) =>
      ({ taskKey: `${jobId}.${occurrence}.0.${index}`, run: 1, ...LIFE })))
  const runs = firstTasks(done, spec.steps[0]!.taskCount)
  state.apply({ kind: 'assign', assignments: [...runs, ...firstTasks(running, 1)] }, 0)
  const firstSequence = state.lastEndSequence(LIFE) + 1
  const ends = runs.map(({ taskKey, run }, index) =>
    ({ sequence: firstSequence + index, taskKey, run, reason: 'done' as const, checkpoint: '' }))
  state.apply({ kind: 'record_ends', life: LIFE, ends }, 0)
}

/** All steps that wait, sorted; equal ones in the order of jobs, occurrences and steps. */
function listAll (state: BatchState): QueuedStep[] {
  const waiting: QueuedStep[] = []
  const guarantees = new GuaranteeCoverage(state)
  for (const job of state.openJobs()) {
    const { schedule, steps } = job.spec
    const common = { job, queue: state.queueOf(job), isGuaranteed: guarantees.covers(job) }
    for (let occurrence = 0; occurrence < job.occurrences.count; occurrence++) {
      const dueMs = schedule === undefined ? 0 : schedule.firstDueMs + occurrence * schedule.intervalMs
      if (dueMs > NOW_WALL_MS - defaultBatchSettings.dueMarginMs) continue
      const records = job.occurrences.at(occurrence)?.steps
      for (const [stepIndex, spec] of steps.entries()) {
        const record = records?.[stepIndex]
        if (record?.isDone === true || !hasWaitingTasks(spec, record)) continue
        if (!spec.dependsOn.every(index => records?.[index]?.isDone === true)) continue
        waiting.push(queuedStep({ ...common, occurrence, stepIndex, spec, record }, NOW_WALL_MS, plainPolicies()))
      }
    }
  }
  return waiting.sort((left, right) => order.compare(left, right, NOW_WALL_MS))
}

// Guards against occurrences that are skipped or overtaken because a pass holds only the first ones of each job.
test('steps are taken in the order of a full list, though the queue holds few occurrences of a job', t => {
  fc.assert(fc.property(fc.array(JOB, { minLength: 1, maxLength: 5 }), jobs => {
    const state = createState(jobs)
    const clock = new ManualClock(1_000_000, NOW_WALL_MS)
    const queue = new WaitingQueue({ state, clock, settings: defaultBatchSettings, policies: plainPolicies(), order })
    queue.sort((left, right) => order.compare(left, right, NOW_WALL_MS))
    const all = listAll(state)
    const work = queue.work().reduce((sum, item) => sum + item.waitingTaskCount, 0)
    const taken: string[] = []
    for (let entry = queue.take(); entry !== undefined; entry = queue.take()) {
      taken.push(waitingStepKey(entry.step))
      const following = queue.following(entry)
      if (following !== undefined) queue.push(following)
    }
    const expected = all.map(waitingStepKey)
    if (taken.join() !== expected.join()) throw new Error(`taken ${taken.join(' ')}, expected ${expected.join(' ')}`)
    const waitingTasks = all.reduce((sum, waiting) => sum + waiting.waitingTaskCount, 0)
    if (work < waitingTasks) throw new Error(`work of ${work} tasks, ${waitingTasks} wait`)
  }), { numRuns: 500, seed: 47 })
  t.pass()
})
