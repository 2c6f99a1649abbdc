/** Cost of tasks that wait, run or are done: time of a scheduling pass, heap, and size of the snapshot. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { Encoder } from 'cbor-x'
import { ManualClock, NullMetrics, StrictEventLog } from '@comfreygrade/core'
import {
  BatchLeader, BatchState, defaultBatchSettings, plainPolicies, type BatchCommand, type JobSpec, type LeaderEffect,
  type LeaderEvent, type QueueDocument, type StepSpec, type WorkerReport
} from '@comfreygrade/batch'
import type { BenchTable } from './format.js'

const HOST = 'simulated.example'
const SERVICE = 'service'
const QUEUE_ADDRESS = `${HOST}/jobs/`
const WORKER_COUNT = 8
const ACCELERATORS_PER_WORKER = 8
const INCARNATION = 1_000
const START_MS = 1_000_000
const START_WALL_MS = 1_700_000_000_000
/** Longer than the interval between passes and between checks of the fleet. */
const TICK_MS = 150
const MEASURED_PASSES = 5
const BYTES_PER_MIB = 1_048_576
/** Tasks of one job in the rows of running and done tasks. */
const TASKS_PER_JOB = 10_000
const PAYLOAD = 'x'.repeat(1_000)

/** Jobs whose tasks all wait. */
interface WaitingLoad {
  readonly name: string
  readonly jobs: number
  readonly tasksPerOccurrence: number
  /** All due; undefined for jobs without a schedule. */
  readonly occurrences: number | undefined
}

const WAITING_LOADS: readonly WaitingLoad[] = [1, 10, 100].flatMap(jobs => [
  { name: `${jobs} recurring jobs, 100 x 100 tasks`, jobs, tasksPerOccurrence: 100, occurrences: 100 },
  { name: `${jobs} jobs of 10,000 tasks`, jobs, tasksPerOccurrence: 10_000, occurrences: undefined }
])

const collectGarbage = enableGarbageCollection()

function enableGarbageCollection (): () => void {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as () => void
}

/** Measures the loads; the quick run has only the smallest ones. */
export function runBacklogBench (isQuick: boolean): BenchTable[] {
  const loads = isQuick ? WAITING_LOADS.slice(0, 2) : WAITING_LOADS
  const jobCounts = isQuick ? [1] : [1, 10]
  return [
    {
      title: 'Scheduling pass of a full fleet of 8 workers over tasks that wait',
      columns: ['load', 'tasks', 'pass ms', 'state MiB', 'pass MiB', 'snapshot KiB', 'snapshot ms'],
      rows: loads.map(measureWaiting)
    },
    {
      title: 'Replicated state per task, without the leader',
      columns: ['tasks', 'number', 'heap bytes/task', 'snapshot bytes/task'],
      rows: jobCounts.flatMap(jobs => (['running', 'done'] as const).map(state => measureTasks(jobs, state)))
    }
  ]
}

/** A leader whose proposals commit at once. */
class BenchLeader {
  readonly clock = new ManualClock(START_MS, START_WALL_MS)
  readonly state = new BatchState(defaultBatchSettings)
  readonly #leader: BatchLeader

  constructor () {
    this.state.apply({ kind: 'put_configuration', document: queueDocument() }, 0)
    this.#leader = new BatchLeader({
      term: 1,
      state: this.state,
      settings: defaultBatchSettings,
      clock: this.clock,
      metrics: new NullMetrics(),
      log: new StrictEventLog(),
      policies: plainPolicies()
    })
  }

  handle (event: LeaderEvent): void {
    const effects: LeaderEffect[] = this.#leader.handle(event)
    for (const effect of effects) {
      if (effect.kind !== 'propose') continue
      const result = this.state.apply(effect.command, this.clock.monotonicMs())
      this.handle({ kind: 'applied', proposalId: effect.proposalId, result })
    }
  }

  reportAll (): void {
    for (let index = 0; index < WORKER_COUNT; index++) {
      this.handle({ kind: 'report', requestId: `report-${index}`, report: workerReport(`w${index}`, this.clock.monotonicMs()) })
    }
  }

  /** Time that the leader takes for a tick with a pass, in milliseconds. */
  timePass (): number {
    this.clock.advance(TICK_MS)
    const startedAtMs = performance.now()
    this.handle({ kind: 'tick' })
    return performance.now() - startedAtMs
  }
}

function measureWaiting (load: WaitingLoad): string[] {
  const before = heapBytes()
  const leader = new BenchLeader()
  for (let job = 0; job < load.jobs; job++) leader.state.apply(submission(jobSpec(`j${job}`, load)), 0)
  const stateBytes = heapBytes() - before
  leader.reportAll()
  for (let pass = 0; pass < 3; pass++) leader.timePass()
  const beforePass = heapBytes()
  const passMs = [leader.timePass()]
  const passBytes = process.memoryUsage().heapUsed - beforePass
  for (let pass = 1; pass < MEASURED_PASSES; pass++) passMs.push(leader.timePass())
  const snapshot = encodeSnapshot(leader.state)
  const tasks = load.jobs * load.tasksPerOccurrence * (load.occurrences ?? 1)
  return [
    load.name, String(tasks), median(passMs).toFixed(1), toMib(stateBytes), toMib(passBytes),
    (snapshot.bytes / 1_024).toFixed(0), snapshot.tookMs.toFixed(1)
  ]
}

/** State of jobs of which all tasks run, or are done. */
function measureTasks (jobs: number, state: 'running' | 'done'): string[] {
  const before = heapBytes()
  const replica = new BatchState(defaultBatchSettings)
  replica.apply({ kind: 'put_configuration', document: queueDocument() }, 0)
  for (let job = 0; job < jobs; job++) runTasks(replica, `j${job}`, state)
  const tasks = jobs * TASKS_PER_JOB
  const bytes = heapBytes() - before
  const snapshot = encodeSnapshot(replica)
  return [state, String(tasks), (bytes / tasks).toFixed(0), (snapshot.bytes / tasks).toFixed(0)]
}

/** The last task of a job stays without an end, so that the job stays open. */
function runTasks (replica: BatchState, jobId: string, state: 'running' | 'done'): void {
  const load = { name: '', jobs: 1, tasksPerOccurrence: TASKS_PER_JOB, occurrences: undefined }
  replica.apply(submission(jobSpec(jobId, load)), 0)
  const life = { workerId: `worker of ${jobId}`, incarnation: INCARNATION }
  const taskKeys = Array.from({ length: TASKS_PER_JOB }, (_unused, index) => `${jobId}.0.0.${index}`)
  replica.apply({ kind: 'assign', assignments: taskKeys.map(taskKey => ({ ...life, taskKey, run: 1 })) }, 0)
  if (state === 'running') return
  const ends = taskKeys.slice(0, -1).map((taskKey, index) =>
    ({ sequence: index + 1, taskKey, run: 1, reason: 'done' as const, checkpoint: '' }))
  replica.apply({ kind: 'record_ends', life, ends }, 0)
}

function encodeSnapshot (state: BatchState): { readonly bytes: number, readonly tookMs: number } {
  const startedAtMs = performance.now()
  const bytes = new Encoder({ useRecords: false, mapsAsObjects: true }).encode(state.snapshot()).byteLength
  return { bytes, tookMs: performance.now() - startedAtMs }
}

function heapBytes (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

function toMib (bytes: number): string {
  return (bytes / BYTES_PER_MIB).toFixed(2)
}

function median (values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? NaN
}

function submission (spec: JobSpec): BatchCommand {
  return { kind: 'submit_job', spec, queueAddress: QUEUE_ADDRESS, organisation: '', acceptedWallMs: START_WALL_MS }
}

function jobSpec (jobId: string, { tasksPerOccurrence, occurrences }: WaitingLoad): JobSpec {
  const schedule = occurrences === undefined ? undefined : { firstDueMs: 0, intervalMs: 1, occurrences }
  return { jobId, payload: PAYLOAD, steps: [stepSpec(tasksPerOccurrence)], schedule }
}

function stepSpec (taskCount: number): StepSpec {
  return {
    taskCount,
    shape: { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 1 },
    estimateMs: 60_000,
    dependsOn: [],
    isCheckpointing: false,
    isGang: false,
    isSameRack: false,
    requiredLabel: '',
    dataRack: '',
    maxTasksPerWorker: 0,
    isSpeculative: false,
    isLasting: false,
    image: '',
    targetLatencyMs: 0,
    isFiller: false
  }
}

function queueDocument (): QueueDocument {
  return {
    version: 1,
    queues: [{
      name: 'jobs',
      host: HOST,
      pathPrefix: '/jobs/',
      service: SERVICE,
      timeoutMs: 3_000,
      targetLatencyMs: 1_000,
      priority: 1,
      maxAttempts: 2,
      slackFactor: 3,
      isAnonymous: true
    }],
    services: [{ name: SERVICE, isStandby: false }],
    organisations: [],
    source: ''
  }
}

function workerReport (workerId: string, nowMs: number): WorkerReport {
  return {
    workerId,
    incarnation: INCARNATION,
    service: SERVICE,
    address: `${workerId}:80`,
    vmId: `vm-${workerId}`,
    availabilityZone: 'a',
    sequence: 1,
    state: 'active',
    capacity: { cpuMillicores: 64_000, memoryMb: 262_144, acceleratorCount: ACCELERATORS_PER_WORKER },
    labels: ['r1'],
    rack: 'r1',
    clockMs: nowMs,
    coldRemainingMs: 0,
    running: [],
    ends: []
  }
}
