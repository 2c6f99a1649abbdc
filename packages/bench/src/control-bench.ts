/**
 * Benchmark of the control state and the control leader at the planned size of 21,000 workers and 100,000 running
 * tasks.
 */
import { performance } from 'node:perf_hooks'
import { serialize, setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { NullEventLog, NullMetrics, type ConfigurationChange } from '@comfreygrade/core'
import {
  ControlLeader, ControlState, defaultControlSettings, type ControlCommand, type ControlEffect
} from '@comfreygrade/control'
import {
  buildAppliedState, benchJob, benchPlacement, benchReport, activateWorkerCommand, NoOpScheduler, RUNNING_TASKS,
  START_LOG_TIME_MS, stateOptions, WORKERS, type AppliedState
} from './control-load.js'
import type { BenchTable } from './format.js'

export interface ControlMeasure {
  readonly name: string
  readonly value: number
  readonly unit: string
}

const MIB_BYTES = 1024 * 1024
const SAMPLES = 2_000
/** Fewer samples than for other commands, as each change of a worker copies the map of all workers. */
const CHANGE_SAMPLES = 200
const REPORT_INTERVAL_S = 10
const CLAIMS = 50_000

/**
 * Measures the control package alone, with a scheduler that makes no decisions.
 *
 * @example
 * for (const { name, value, unit } of runControlBench()) console.log(name, value.toFixed(1), unit)
 */
export function runControlBench (): ControlMeasure[] {
  const emptyBytes = usedMemoryBytes()
  const applied = buildAppliedState()
  const stateBytes = usedMemoryBytes() - emptyBytes
  return [
    { name: 'state in memory', value: stateBytes / MIB_BYTES, unit: 'MiB' },
    ...measureSnapshot(applied.state),
    ...measureLeader(applied),
    ...measureCommands(applied),
    ...measureChanges(applied),
    ...measureClaims(applied)
  ]
}

/** Prints the measures of `runControlBench`, one per line. */
export function printControlBench (): void {
  for (const { name, value, unit } of runControlBench()) console.log(`${name.padEnd(58)}${value.toFixed(2).padStart(12)} ${unit}`)
}

/** Returns the measures of `runControlBench` as a table. The sizes do not depend on `quick`. */
export async function run (): Promise<BenchTable[]> {
  const rows = runControlBench().map(({ name, value, unit }) => [name, value.toFixed(2), unit])
  return [{ title: `Control state and leader, ${WORKERS} workers, ${RUNNING_TASKS} tasks`, columns: ['figure', 'value', 'unit'], rows }]
}

function measureSnapshot (state: ControlState): ControlMeasure[] {
  const [snapshot, snapshotMs] = timeCall(() => state.snapshot())
  const [encoded, encodeMs] = timeCall(() => serialize(snapshot))
  const [, restoreMs] = timeCall(() => ControlState.restore(snapshot, stateOptions))
  return [
    { name: 'snapshot, taken', value: snapshotMs, unit: 'ms' },
    { name: 'snapshot, encoded by v8.serialize', value: encoded.length / MIB_BYTES, unit: 'MiB' },
    { name: 'snapshot, encoding by v8.serialize', value: encodeMs, unit: 'ms' },
    { name: 'snapshot, restored', value: restoreMs, unit: 'ms' }
  ]
}

function measureLeader (applied: AppliedState): ControlMeasure[] {
  const before = usedMemoryBytes()
  const leader = newLeader(applied.state)
  const [, startMs] = timeCall(() => leader.handle({ kind: 'tick' }, 0))
  const leaderBytes = usedMemoryBytes() - before
  commitFirstProposal(applied, leader, 1)
  const perReportUs = measureReports(applied, leader)
  return [
    { name: 'leader, start of a term', value: startMs, unit: 'ms' },
    { name: 'leader, memory besides the state', value: leaderBytes / MIB_BYTES, unit: 'MiB' },
    // `benchPlacement` fills the workers in sequence: 20,000 have 5 tasks, and 1,000 have none.
    { name: `report of a worker with ${RUNNING_TASKS / WORKERS | 0} to 5 tasks`, value: perReportUs, unit: 'us' },
    {
      name: `${WORKERS} workers reporting each ${REPORT_INTERVAL_S} s`,
      // 10,000 us per second are 1 % of a core.
      value: perReportUs * WORKERS / REPORT_INTERVAL_S / 10_000,
      unit: '% of a core'
    },
    measureLeaderChange(applied, leader)
  ]
}

/** Creates a leader whose leadership stays valid after its first commit, so that only the first report needs one. */
function newLeader (state: ControlState): ControlLeader {
  return new ControlLeader({
    term: 1,
    state,
    scheduler: new NoOpScheduler(),
    settings: { ...defaultControlSettings, leadershipValidMs: Number.MAX_SAFE_INTEGER },
    metrics: new NullMetrics(),
    log: new NullEventLog()
  })
}

/** Commits one proposal of the leader's term; after it, the leader answers reports at once. */
function commitFirstProposal (applied: AppliedState, leader: ControlLeader, nowMs: number): void {
  const report = benchReport(applied.state, 0, 1)
  const operation = { kind: 'report_worker' as const, report }
  commitProposals(applied, leader, leader.handle({ kind: 'operation', requestId: 'proof', operation }, nowMs), nowMs)
}

function commitProposals (
  applied: AppliedState, leader: ControlLeader, effects: readonly ControlEffect[], nowMs: number
): void {
  for (const effect of effects) {
    if (effect.kind !== 'propose') continue
    const { proposalId, command } = effect
    const result = applied.apply(command)
    leader.handle({ kind: 'applied', proposalId, index: applied.index, command, result }, nowMs)
  }
}

/** Returns the mean time per report in the fastest of three rounds, as the least disturbed one. */
function measureReports (applied: AppliedState, leader: ControlLeader): number {
  const rounds = [2, 3, 4].map(sequence =>
    Array.from({ length: WORKERS }, (_, worker) => benchReport(applied.state, worker, sequence)))
  const times = rounds.map((reports, round) => {
    const [, elapsedMs] = timeCall(() => {
      for (const report of reports) {
        const operation = { kind: 'report_worker' as const, report }
        leader.handle({ kind: 'operation', requestId: report.workerId, operation }, 2 + round)
      }
    })
    return elapsedMs * 1_000 / WORKERS
  })
  return Math.min(...times)
}

/**
 * Measures the time from an operator's change to its response, including one commit, which is an in-memory `apply`
 * without a log.
 */
function measureLeaderChange (applied: AppliedState, leader: ControlLeader): ControlMeasure {
  const { version } = applied.state.configuration
  const changes = Array.from({ length: CHANGE_SAMPLES }, (_, offset) => workerChange(version + offset))
  const [, elapsedMs] = timeCall(() => {
    for (const change of changes) {
      const operation = { kind: 'apply_change' as const, change, isDryRun: false }
      commitProposals(applied, leader, leader.handle({ kind: 'operation', requestId: 'change', operation }, 10), 10)
    }
  })
  return { name: 'leader, change of one worker', value: elapsedMs / CHANGE_SAMPLES, unit: 'ms' }
}

function measureCommands (applied: AppliedState): ControlMeasure[] {
  // Numbers after those of the running gangs; `benchPlacement` puts these jobs on accelerators that are still free.
  // There is room for 625 such gangs.
  const first = RUNNING_TASKS / 8
  const numbers = Array.from({ length: 600 }, (_, offset) => first + offset)
  const leases = new Map<number, number>()
  const leaseOf = (number: number): number => leases.get(number) ?? 0
  const id = (number: number): string => benchJob(number).jobId
  const measure = (make: (number: number) => ControlCommand): ControlMeasure[] =>
    measureCommandKind(applied, numbers.map(make))
  const place = measure(number => ({ kind: 'submit_job', spec: benchJob(number) })).concat(
    measureCommandKind(applied, numbers.map(number => {
      leases.set(number, applied.index + 1 + number - first)
      return { kind: 'place_job', jobId: id(number), placement: benchPlacement(number) }
    })))
  return [
    ...place,
    ...measure(number => ({ kind: 'start_job', jobId: id(number), leaseId: leaseOf(number) })),
    ...measure(number => ({ kind: 'job_running', jobId: id(number), leaseId: leaseOf(number) })),
    ...measure(number => ({
      kind: 'stop_job',
      jobId: id(number),
      leaseId: leaseOf(number),
      reason: 'task 3 failed on worker worker-17',
      isCheckpoint: false,
      then: 'requeue'
    })),
    ...measure(number => ({ kind: 'requeue_job', jobId: id(number), leaseId: leaseOf(number), reason: 'task 3 failed' })),
    ...measure(number => ({ kind: 'end_job', jobId: id(number), leaseId: 0, outcome: 'cancelled', reason: 'cancelled' })),
    ...measureCommandKind(applied, Array.from({ length: SAMPLES }, (_, worker) => activateWorkerCommand(worker, 2))),
    ...measureCommandKind(applied, Array.from({ length: SAMPLES }, (_, worker): ControlCommand =>
      ({ kind: 'set_drain', drain: { kind: 'worker', id: `worker-${worker}` }, isDraining: true }))),
    ...measureCommandKind(applied, Array.from({ length: SAMPLES }, (): ControlCommand => ({ kind: 'clock' })))
  ]
}

function measureChanges (applied: AppliedState): ControlMeasure[] {
  const { version } = applied.state.configuration
  const organisations = Array.from({ length: CHANGE_SAMPLES }, (_, offset) => organisationChange(version + offset))
  const workers = Array.from({ length: CHANGE_SAMPLES }, (_, offset) => workerChange(version + CHANGE_SAMPLES + offset))
  const toCommand = (change: ConfigurationChange): ControlCommand => ({ kind: 'apply_configuration', change })
  return [
    ...measureCommandKind(applied, organisations.map(toCommand), 'apply_configuration, one organisation'),
    ...measureCommandKind(applied, workers.map(toCommand), `apply_configuration, one of ${WORKERS} workers`)
  ]
}

function measureClaims (applied: AppliedState): ControlMeasure[] {
  const before = usedMemoryBytes()
  const keys = Array.from({ length: CLAIMS }, (_, number) => claimKey(number))
  const organisationId = 'organisation-1'
  const digest = 'a'.repeat(64)
  const claims = keys.map((key): ControlCommand => ({ kind: 'claim_request', organisationId, key, digest, claimantId: 'a' }))
  const settles = keys.map((key): ControlCommand =>
    ({ kind: 'settle_claim', organisationId, key, claimantId: 'a', state: 'completed', answer: null }))
  const measures = [...measureCommandKind(applied, claims), ...measureCommandKind(applied, settles)]
  const bytes = (usedMemoryBytes() - before) / CLAIMS
  return [...measures, { name: 'claim in memory, with its two commands', value: bytes, unit: 'bytes' }]
}

function measureCommandKind (
  applied: AppliedState, commands: readonly ControlCommand[], label?: string
): ControlMeasure[] {
  const name = label ?? commands[0]?.kind ?? 'none'
  const bytes = JSON.stringify(commands).length / commands.length
  const [, elapsedMs] = timeCall(() => { for (const command of commands) applied.apply(command) })
  return [
    { name: `${name}, size as JSON`, value: bytes, unit: 'bytes' },
    { name: `${name}, apply`, value: elapsedMs * 1_000 / commands.length, unit: 'us' }
  ]
}

function organisationChange (baseVersion: number): ConfigurationChange {
  const record = { organisationId: 'organisation-7', quotaAccelerators: baseVersion, weight: 1 }
  return { version: baseVersion + 1, baseVersion, upserts: [{ kind: 'organisation', record }], removes: [] }
}

function workerChange (baseVersion: number): ConfigurationChange {
  const record = {
    workerId: 'worker-20999',
    rackId: 'rack-2624',
    rackPosition: 7,
    cores: 64,
    memoryGb: 256 + baseVersion % 2,
    acceleratorModel: 'gpu',
    accelerators: 5
  }
  return { version: baseVersion + 1, baseVersion, upserts: [{ kind: 'worker', record }], removes: [] }
}

function claimKey (number: number): string {
  const time = START_LOG_TIME_MS.toString(16).padStart(12, '0')
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${number.toString(16).padStart(12, '0')}`
}

function timeCall<T> (work: () => T): readonly [T, number] {
  const startMs = performance.now()
  const value = work()
  return [value, performance.now() - startMs]
}

/** Heap and array buffers in use after a full garbage collection. */
function usedMemoryBytes (): number {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  collect()
  collect()
  return process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers
}
