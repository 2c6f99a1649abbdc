/**
 * Review of the releases, ends and departures of issue 41. Guards against ends that are acknowledged although a later
 * run may have started, attempts that are not counted, departures that are confirmed without a record, and lists in the
 * replicated state that keep growing.
 */
import test from 'ava'
import { Encoder } from 'cbor-x'
import { document, queue, report, step } from './sample-data.js'
import { LeaderFixture, RecordingLog, runningTasks } from './leader-fixture.js'
import {
  BatchState, defaultBatchSettings, type Assignment, type BatchCommand, type RunEnd, type WorkerReport
} from '../src/index.js'

const REPORT_INTERVAL_MS = 200
const LIFE = { workerId: 'w1', incarnation: 1_000 }
const RUN: Assignment = { ...LIFE, taskKey: 'j1.0.0.0', run: 1 }
const DONE_END = { sequence: 1, taskKey: 'j1.0.0.0', run: 1, reason: 'done' as const, checkpoint: '' }

function passTime (fixture: LeaderFixture, durationMs: number): void {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += REPORT_INTERVAL_MS) fixture.advance(REPORT_INTERVAL_MS)
}

function createLoggedFixture (log: RecordingLog): LeaderFixture {
  return new LeaderFixture(undefined, { maxLongPollMs: 60, gangAssemblyMs: 0 }, log)
}

/** A worker with one run, which it has reported. */
function createRunningWorker (fixture = new LeaderFixture()): { fixture: LeaderFixture, running: WorkerReport['running'] } {
  fixture.advance(1_000)
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ taskCount: 1, estimateMs: 20_000 })])
  const running = runningTasks(fixture.heartbeat('w1')?.starts ?? [], 50)
  fixture.advance(REPORT_INTERVAL_MS)
  fixture.heartbeat('w1', { running })
  return { fixture, running }
}

/** A report as its worker sent it, at a time on the fixture's clock; it may arrive later. */
function sentAt (sentMs: number, fields: Partial<WorkerReport> = {}): WorkerReport {
  return report('w1', { clockMs: sentMs, sequence: Math.round(sentMs), ...fields })
}

test('an end is not acknowledged by a lapse that a late first heartbeat let seem earlier than the lease of the worker', t => {
  const { fixture, running } = createRunningWorker()
  // The former leader extends the lease in the last heartbeat before the change, up to 6 s after it.
  const grantedMs = fixture.clock.monotonicMs()
  fixture.heartbeat('w1', { running })
  fixture.changeLeader()
  fixture.sendReport(sentAt(grantedMs - 2_700, { running }))
  // The worker lists its completion while it has its lease, and crashes; the heartbeat is delayed by 2.2 s.
  passTime(fixture, 6_800)
  t.deepEqual([...fixture.state.runsOf('w1')], [])
  fixture.heartbeat('w2')
  fixture.advance(60)
  t.is(fixture.heartbeat('w2')?.starts[0]?.run, 2)
  const listedMs = grantedMs + 5_000
  t.true(fixture.clock.monotonicMs() - listedMs < 3_000)
  const orders = fixture.heartbeat('w1', { clockMs: listedMs, sequence: Math.round(listedMs), ends: [DONE_END] })
  t.is(fixture.state.findTask('j1.0.0.0')?.task.lastRun, 2)
  t.is(fixture.state.lastEndSequence(LIFE), 0)
  t.is(orders?.recordedEndSequence ?? 0, 0)
})

test('an end is not acknowledged by a lapse that is stored too early while the leader itself is not certain of it', t => {
  const { fixture, running } = createRunningWorker()
  const grantedMs = fixture.clock.monotonicMs()
  fixture.heartbeat('w1', { running })
  fixture.changeLeader()
  const termStartedMs = fixture.clock.monotonicMs()
  fixture.sendReport(sentAt(grantedMs - 2_700, { running }))
  passTime(fixture, 6_000)
  fixture.heartbeat('w2')
  while ([...fixture.state.runsOf('w1')].length > 0) fixture.advance(20)
  fixture.advance(25)
  fixture.sendReport(report('w2', { clockMs: fixture.clock.monotonicMs(), sequence: Math.round(fixture.clock.monotonicMs()) }))
  fixture.advance(60)
  t.is(fixture.state.findTask('j1.0.0.0')?.task.lastRun, 2)
  // Before this, no lease of the former leader has certainly ended, by the worker's own clock and the latest heartbeat.
  t.true(fixture.clock.monotonicMs() < termStartedMs + 7_000)
  fixture.sendReport(sentAt(grantedMs + 5_000, { ends: [DONE_END] }))
  fixture.advance(60)
  t.is(fixture.state.lastEndSequence(LIFE), 0)
})

test('a departure counts where the first heartbeat to a new leader is from before the worker said that it leaves', t => {
  const { fixture, running } = createRunningWorker()
  const beforeMs = fixture.clock.monotonicMs()
  fixture.advance(REPORT_INTERVAL_MS)
  fixture.heartbeat('w1', { running, state: 'leaving' })
  t.is(fixture.state.departureOf(LIFE), 'leaving')
  fixture.changeLeader()
  fixture.sendReport(sentAt(beforeMs, { running }))
  fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  t.is(fixture.state.departureOf(LIFE), 'left')
  t.deepEqual([...fixture.state.runsOf('w1')], [])
})

test('a worker is not told that it may leave before that is recorded, also where it lists an end at once', t => {
  const { fixture } = createRunningWorker()
  fixture.isCommitting = false
  const nowMs = fixture.clock.monotonicMs()
  const requestId = fixture.sendReport(sentAt(nowMs, { state: 'leaving', ends: [DONE_END] }))
  while (fixture.commitNext() !== undefined);
  fixture.advance(60)
  const isAnswered = fixture.answerTo(requestId) !== undefined
  t.deepEqual([isAnswered, fixture.state.departureOf(LIFE)], [true, 'leaving'])
})

test('a repeated departure is not confirmed without a record after the log has refused the first one', t => {
  const { fixture, running } = createRunningWorker()
  fixture.isCommitting = false
  fixture.sendReport(sentAt(fixture.clock.monotonicMs(), { running, state: 'leaving' }))
  const refuse = (): void => {
    for (const { proposalId } of fixture.proposals.splice(0)) fixture.deliver({ kind: 'rejected', proposalId, isCertain: true })
  }
  refuse()
  fixture.deliver({ kind: 'worker_left', requestId: 'left-1', workerId: 'w1' })
  refuse()
  fixture.deliver({ kind: 'worker_left', requestId: 'left-2', workerId: 'w1' })
  t.true(fixture.proposals.some(({ command }) => command.kind === 'record_departure'))
})

test('an end that counted with the departure of its worker is logged and counted once', t => {
  const log = new RecordingLog()
  const { fixture } = createRunningWorker(createLoggedFixture(log))
  // The record of the ends is refused or held, and the release of the worker with the end is not.
  fixture.isCommitting = false
  fixture.sendReport(sentAt(fixture.clock.monotonicMs(), { ends: [DONE_END] }))
  for (const { proposalId } of fixture.proposals.splice(0)) fixture.deliver({ kind: 'rejected', proposalId, isCertain: true })
  passTime(fixture, 7_000)
  const gone = fixture.proposals.find(({ command }) => command.kind === 'worker_gone')
  if (gone === undefined) return t.fail()
  fixture.deliver({ kind: 'applied', proposalId: gone.proposalId, result: fixture.state.apply(gone.command, 0) })
  t.is(fixture.state.job('j1')?.state, 'completed')
  fixture.isCommitting = true
  fixture.advance(60)
  const orders = fixture.heartbeat('w1', { ends: [DONE_END] })
  t.is(orders?.recordedEndSequence, 1)
  t.is(log.lines.filter(({ message }) => message === 'run ended').length, 1)
})

/** A state in which a member of a gang was presumed to have ended, and failed, which its worker has listed. */
function createPresumedFailure (): BatchState {
  const fixture = new LeaderFixture()
  fixture.submit('j1', [step({ taskCount: 2, isGang: true })])
  const { state } = fixture
  const member: Assignment = { workerId: 'w2', incarnation: 1_000, taskKey: 'j1.0.0.1', run: 1 }
  state.apply({ kind: 'assign', assignments: [RUN, member] }, 0)
  state.apply({ kind: 'record_ends', life: member, ends: [{ ...DONE_END, taskKey: 'j1.0.0.1', reason: 'broken' }], voidEndSequence: 0 }, 0)
  state.apply({ kind: 'presume_ended', runs: [RUN] }, 0)
  return state
}

test('a failure of a presumed end counts as an attempt where the departure of its worker lists it', t => {
  const state = createPresumedFailure()
  const other = { ...LIFE, taskKey: 'j1.0.0.0', run: 2 }
  state.apply({ kind: 'assign', assignments: [other] }, 0)
  state.apply({ kind: 'worker_gone', life: LIFE, checkpoints: [], ends: [{ ...DONE_END, reason: 'failed' }] }, 0)
  t.is(state.findTask('j1.0.0.0')?.task.failures, 1)
})

test('the keys of counted runs are removed with the acknowledgement, also once the job is no longer known', t => {
  const { fixture } = createRunningWorker()
  const { state } = fixture
  state.apply({ kind: 'worker_gone', life: LIFE, checkpoints: [], ends: [DONE_END] }, 1_000_000)
  t.is(state.job('j1')?.state, 'completed')
  const laterMs = 1_000_001 + defaultBatchSettings.endedJobRetentionMs
  state.apply({ kind: 'record_ends', life: LIFE, ends: [DONE_END], voidEndSequence: 0 }, laterMs)
  t.is(state.job('j1'), undefined)
  t.is(state.lastEndSequence(LIFE), 1)
  const [, record] = state.snapshot().workers.find(([workerId]) => workerId === 'w1') ?? []
  t.is(record?.countedRuns, undefined)
})

test('late copies of the heartbeats of an earlier incarnation do not put the worker into quarantine', t => {
  const fixture = new LeaderFixture()
  fixture.advance(1_000)
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.submit('j2', [step({ taskCount: 1 })])
  fixture.heartbeat('w1')
  const { state } = fixture
  t.is([...state.runsOf('w1')].length, 2)
  const ends = ['j1', 'j2'].map((jobId, index) =>
    ({ ...DONE_END, sequence: index + 1, taskKey: `${jobId}.0.0.0`, reason: 'failed' as const }))
  state.apply({ kind: 'record_ends', life: LIFE, ends, voidEndSequence: 0 }, 0)
  fixture.cancel('j1')
  fixture.cancel('j2')
  const copyMs = fixture.clock.monotonicMs()
  fixture.changeLeader()
  // Two more workers, on which nothing fits, so that one worker in quarantine is not most of the pool.
  const capacity = { cpuMillicores: 1, memoryMb: 1, acceleratorCount: 0 }
  for (const workerId of ['w2', 'w3']) fixture.heartbeat(workerId, { capacity })
  fixture.heartbeat('w1', { incarnation: 2_000 })
  fixture.submit('j3', [step({ taskCount: 1 })])
  t.is(fixture.heartbeat('w1', { incarnation: 2_000 })?.starts.length, 1)
  fixture.sendReport(sentAt(copyMs, { ends }))
  fixture.submit('j4', [step({ taskCount: 1 })])
  const starts = fixture.heartbeat('w1', { incarnation: 2_000, running: runningTasks([{ taskKey: 'j3.0.0.0', run: 1, payload: '', checkpoint: '' }]) })?.starts
  t.deepEqual(starts?.map(({ taskKey }) => taskKey), ['j4.0.0.0'])
})

test('a failure counts as one attempt, whichever of its departure, its record and its copies come first', t => {
  const failed = { ...DONE_END, reason: 'failed' as const }
  const gone = { kind: 'worker_gone', life: LIFE, checkpoints: [], ends: [failed] } as const
  const record = { kind: 'record_ends', life: LIFE, ends: [failed], voidEndSequence: 0 } as const
  for (const commands of [[gone, record, gone], [record, gone, record], [gone, gone, record, record]]) {
    const { fixture } = createRunningWorker()
    for (const command of commands) fixture.state.apply(command, 0)
    t.is(fixture.state.findTask('j1.0.0.0')?.task.failures, 1)
    t.is(fixture.state.lastEndSequence(LIFE), 1)
    t.deepEqual([...fixture.state.runsOf('w1')], [])
  }
})

test('a copy that was restored from a snapshot stays equal to the state that it was taken from', t => {
  const { fixture } = createRunningWorker()
  const { state } = fixture
  state.apply({ kind: 'worker_gone', life: LIFE, checkpoints: [], ends: [] }, 0)
  const restored = BatchState.restore(structuredClone(state.snapshot()), defaultBatchSettings)
  for (const copy of [state, restored]) {
    copy.apply({ kind: 'record_ends', life: LIFE, ends: [DONE_END], voidEndSequence: 0 }, 1)
  }
  t.deepEqual(restored.snapshot(), state.snapshot())
  t.is(state.job('j1')?.state, 'completed')
})

/** Refuses all proposals that are collected. */
function refuseAll (fixture: LeaderFixture): void {
  for (const { proposalId } of fixture.proposals.splice(0)) fixture.deliver({ kind: 'rejected', proposalId, isCertain: true })
}

/** The later release knows no report, since the view of the worker was removed before the first one was settled. */
const GONE_WITHOUT_VIEW: ReadonlyArray<readonly [string, (fixture: LeaderFixture) => void]> = [
  ['left', fixture => { fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' }) }],
  ['restarted', fixture => { fixture.sendReport(sentAt(fixture.clock.monotonicMs(), { incarnation: 2_000, state: 'leaving' })) }]
]

for (const [description, go] of GONE_WITHOUT_VIEW) {
  test(`a listed completion counts where the log refuses the first release of its worker that has ${description}`, t => {
    const { fixture } = createRunningWorker()
    passTime(fixture, 6_000)
    fixture.isCommitting = false
    fixture.sendReport(sentAt(fixture.clock.monotonicMs(), { state: 'leaving', ends: [DONE_END] }))
    refuseAll(fixture)
    fixture.sendReport(sentAt(fixture.clock.monotonicMs() + 1, { state: 'leaving', ends: [DONE_END] }))
    refuseAll(fixture)
    go(fixture)
    refuseAll(fixture)
    fixture.isCommitting = true
    passTime(fixture, 1_000)
    t.deepEqual([...fixture.state.runsOf('w1')], [])
    t.is(fixture.state.job('j1')?.state, 'completed')
  })
}

test('a departure that is repeated while the first one is being recorded is logged once', t => {
  const log = new RecordingLog()
  const { fixture, running } = createRunningWorker(createLoggedFixture(log))
  fixture.heartbeat('w1', { running, state: 'leaving' })
  fixture.isCommitting = false
  for (const requestId of ['left-1', 'left-2']) fixture.deliver({ kind: 'worker_left', requestId, workerId: 'w1' })
  t.is(log.lines.filter(({ message }) => message === 'worker gone').length, 1)
})

for (const reason of ['done', 'failed'] as const) {
  test(`an end ${reason} counts whose heartbeat the departure of its worker overtakes, before the task starts again`, t => {
    const { fixture, running } = createRunningWorker()
    fixture.heartbeat('w1', { running, state: 'leaving' })
    fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
    fixture.advance(60)
    fixture.sendReport(sentAt(fixture.clock.monotonicMs(), { state: 'leaving', ends: [{ ...DONE_END, reason }] }))
    const task = fixture.state.findTask('j1.0.0.0')?.task
    t.is(task?.lastRun, 1)
    t.deepEqual([task?.isDone, task?.failures], reason === 'done' ? [true, 0] : [false, 1])
  })
}

/** Numbers in [0, 1) that depend on the seed alone. */
function createRandom (seed: number): () => number {
  let value = seed
  return () => {
    value = (Math.imul(value, 1_664_525) + 1_013_904_223) >>> 0
    return value / 2 ** 32
  }
}

const TASKS = ['j1.0.0.0', 'j1.0.0.1', 'j1.0.1.0', 'j1.0.1.1', 'j1.0.2.0']
const REASONS = ['done', 'failed', 'stopped', 'lapsed'] as const

/** Draws commands for three workers that list their ends truthfully, in order and until they are acknowledged. */
class CommandSource {
  readonly #random: () => number
  readonly #ends = new Map<string, RunEnd[]>()
  readonly #ended = new Set<string>()

  constructor (seed: number) {
    this.#random = createRandom(seed)
  }

  next (state: BatchState): BatchCommand {
    const life = { workerId: `w${this.below(3)}`, incarnation: 1_000 }
    const runs = [...state.runsOf(life.workerId)]
    this.#endSome(runs)
    const ends = this.listedEnds(life.workerId).filter(end => end.sequence > state.lastEndSequence(life))
    switch (this.below(7)) {
      case 0: case 1: return { kind: 'assign', assignments: this.#assignments(state, life) }
      case 2: return { kind: 'release', runs: runs.slice(0, 1) }
      case 3: return { kind: 'worker_gone', life, checkpoints: [], ends: this.below(2) === 0 ? [] : ends }
      case 4: return { kind: 'presume_ended', runs: runs.slice(0, 1) }
      default: return { kind: 'record_ends', life, ends, voidEndSequence: 0 }
    }
  }

  below (limit: number): number {
    return Math.floor(this.#random() * limit)
  }

  listedEnds (workerId: string): RunEnd[] {
    return this.#ends.get(workerId) ?? []
  }

  acknowledgedEnds (state: BatchState): RunEnd[] {
    return [...this.#ends].flatMap(([workerId, ends]) => {
      const lastSequence = state.lastEndSequence({ workerId, incarnation: 1_000 })
      return ends.filter(end => end.sequence <= lastSequence)
    })
  }

  #assignments (state: BatchState, life: { workerId: string, incarnation: number }): Assignment[] {
    const first = TASKS[this.below(TASKS.length)] ?? ''
    const taskKeys = first.startsWith('j1.0.1.') ? ['j1.0.1.0', 'j1.0.1.1'] : [first]
    const tasks = taskKeys.map(key => state.findTask(key)?.task)
    // Only tasks without active runs start, but those of the speculative step.
    if (!first.startsWith('j1.0.2.') && tasks.some(task => (task?.active.length ?? 0) > 0)) return []
    const run = Math.max(0, ...tasks.map(task => task?.lastRun ?? 0)) + 1
    return taskKeys.map(taskKey => ({ ...life, taskKey, run }))
  }

  #endSome (runs: readonly Assignment[]): void {
    for (const { workerId, taskKey, run } of runs) {
      if (this.#ended.has(`${taskKey}#${run}`) || this.below(4) > 0) continue
      this.#ended.add(`${taskKey}#${run}`)
      const ends = this.listedEnds(workerId)
      const reason = REASONS[this.below(REASONS.length)] ?? 'done'
      this.#ends.set(workerId, [...ends, { sequence: ends.length + 1, taskKey, run, reason, checkpoint: '' }])
    }
  }
}

test('no acknowledged completion leaves its task open, no attempt counts twice, and restored replicas are equal', t => {
  const codec = new Encoder({ useRecords: false, mapsAsObjects: true })
  const restore = (state: BatchState): BatchState => {
    const snapshot = codec.decode(codec.encode(state.snapshot())) as ReturnType<BatchState['snapshot']>
    return BatchState.restore(snapshot, defaultBatchSettings)
  }
  for (let seed = 1; seed <= 150; seed++) {
    const fixture = new LeaderFixture(document(1, [queue({ maxAttempts: 20 })]))
    fixture.submit('j1', [step(), step({ isGang: true }), step({ taskCount: 1, isSpeculative: true })])
    let replicas = [fixture.state, restore(fixture.state)]
    const source = new CommandSource(seed)
    const failed = new Set<string>()
    for (let count = 0; count < 60; count++) {
      const [state] = replicas
      if (state === undefined) return t.fail()
      const command = source.next(state)
      const results = replicas.map(replica => replica.apply(structuredClone(command), count))
      t.deepEqual(results[0], results[1])
      const ended = results[0]?.kind === 'applied' ? results[0].recordedEnds ?? [] : []
      for (const end of ended) if (end.reason === 'failed') failed.add(`${end.taskKey}#${end.run}`)
      if (state.job('j1')?.state !== 'open') break
      const acknowledged = source.acknowledgedEnds(state)
      const at = `seed ${seed}, command ${count}`
      for (const { taskKey, run, reason } of acknowledged) {
        if (reason === 'done') t.true(state.findTask(taskKey)?.task.isDone, `${at}: ${taskKey} run ${run}`)
      }
      for (const taskKey of ['j1.0.0.0', 'j1.0.0.1', 'j1.0.2.0']) {
        const { isDone = false, failures = 0 } = state.findTask(taskKey)?.task ?? {}
        const isFailure = (end: RunEnd): boolean => end.taskKey === taskKey && end.reason === 'failed'
        t.true(isDone || failures >= acknowledged.filter(isFailure).length, `${at}: ${taskKey}, an attempt is not counted`)
        const recorded = [...failed].filter(key => key.startsWith(`${taskKey}#`)).length
        t.true(failures <= recorded, `${at}: ${taskKey}, an attempt is counted twice`)
      }
      t.deepEqual(replicas[1]?.snapshot(), state.snapshot())
      if (source.below(5) === 0) replicas = [state, restore(state)]
    }
  }
})
