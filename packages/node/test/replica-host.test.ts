/** A state machine on the log of one voter, in a folder: commands that cannot be stored, and errors of the machine. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test, { type ExecutionContext } from 'ava'
import { defaultReplicaSettings } from '@comfreygrade/consensus'
import { EventLog, InMemoryMetrics, Random } from '@comfreygrade/core'
import { FileLog } from '../src/file-log.js'
import { ReplicatedStateMachine, StateMachine } from '../src/replica-host.js'
import { SystemClock } from '../src/system-clock.js'

interface Command {
  readonly kind: string
  readonly value?: unknown
}

class RecordingMachine extends StateMachine<Command> {
  readonly applied: string[] = []
  readonly rejected: Array<{ readonly proposalId: string, readonly isNeverApplied: boolean }> = []
  leadershipCount = 0
  snapshotCount = 0
  snapshotBytes = 0

  override apply (command: Command): void {
    this.applied.push(command.kind)
    if (command.kind === 'unsound') throw new TypeError('the command names no job')
    if (command.kind === 'endless') throw new RangeError('Maximum call stack size exceeded')
  }

  override encodeSnapshot (): Uint8Array {
    this.snapshotCount++
    return new Uint8Array(this.snapshotBytes)
  }

  override restore (): void {}
  override leadershipStarted (): void { this.leadershipCount++ }
  override leadershipEnded (): void { this.leadershipCount-- }

  override proposalRejected (proposalId: string, isNeverApplied: boolean): void {
    this.rejected.push({ proposalId, isNeverApplied })
  }
}

class RecordingLog extends EventLog {
  readonly warnings: Array<{ readonly message: string, readonly fields: object }> = []

  override info (): void {}

  override warn (message: string, fields: object = {}): void {
    this.warnings.push({ message, fields })
  }
}

const SNAPSHOT_AFTER_BYTES = 1_000_000
const SELF = { nodeId: 'a', diskId: 'd' }

/** A single voter that leads, on an empty folder unless one is given. */
async function startLeader (t: ExecutionContext, folder?: string) {
  const dataFolder = folder ?? await mkdtemp(join(tmpdir(), 'replica-host-'))
  if (folder === undefined) t.teardown(async () => { await rm(dataFolder, { recursive: true, force: true }) })
  const storage = new FileLog<Command>(dataFolder)
  const recovered = await storage.recover()
  const machine = new RecordingMachine()
  const log = new RecordingLog()
  const metrics = new InMemoryMetrics()
  const failures: unknown[] = []
  const host = new ReplicatedStateMachine<Command>({
    self: SELF,
    storage,
    stateMachine: machine,
    replicaSettings: defaultReplicaSettings,
    snapshotAfterEntries: 1_000,
    snapshotAfterBytes: SNAPSHOT_AFTER_BYTES,
    random: new Random(1),
    clock: new SystemClock(),
    metrics,
    log,
    send: () => {},
    failed: error => { failures.push(error) }
  })
  if (recovered.entries.length > 0) host.start(recovered)
  else host.bootstrap([SELF])
  await until(() => machine.leadershipCount === 1 || failures.length > 0)
  return { folder: dataFolder, host, machine, log, metrics, failures }
}

async function until (condition: () => boolean): Promise<void> {
  for (let waitedMs = 0; !condition() && waitedMs < 10_000; waitedMs += 10) {
    await new Promise<void>(resolve => { setTimeout(resolve, 10) })
  }
}

// Guards against a command that cannot be encoded: it was taken for a failure of the disk, which ends the process.
test('a command that cannot be stored is refused, and the leader stays in office', async t => {
  const { host, machine, log, metrics, failures } = await startLeader(t)
  host.propose('bad', { kind: 'x', value: { reason: Object } })
  host.propose('good', { kind: 'y' })
  await until(() => machine.applied.length > 0)
  t.deepEqual(machine.applied, ['y'])
  t.deepEqual(machine.rejected, [{ proposalId: 'bad', isNeverApplied: true }])
  t.is(machine.leadershipCount, 1)
  t.deepEqual(failures, [])
  t.is(metrics.snapshot()['consensus.proposal_rejected{reason=not_storable}'], 1)
  t.deepEqual(log.warnings.map(({ fields }) => fields), [{ command: 'x', path: 'value.reason', problem: 'function' }])
  await host.stop()
})

// Guards against a command at which every process ends, and again at each start.
test('a command that the state machine cannot apply is skipped, also after a restart, and named in the log', async t => {
  const first = await startLeader(t)
  first.host.propose('p1', { kind: 'unsound' })
  first.host.propose('p2', { kind: 'y' })
  await until(() => first.machine.applied.length === 2)
  t.deepEqual(first.machine.rejected, [{ proposalId: 'p1', isNeverApplied: false }])
  t.deepEqual(first.failures, [])
  await first.host.stop()
  const second = await startLeader(t, first.folder)
  t.deepEqual(second.machine.applied, ['unsound', 'y'])
  t.deepEqual(second.failures, [])
  t.like(second.log.warnings[0], { fields: { command: 'unsound', detail: 'TypeError: the command names no job' } })
  t.is(second.metrics.snapshot()['consensus.command_failed'], 1)
  await second.host.stop()
})

// Guards against replicas whose states differ: whether the stack is exhausted depends on the process, not the command.
test('an error that depends on the process stops the replica before it handles anything else', async t => {
  const { host, machine, failures } = await startLeader(t)
  host.propose('p1', { kind: 'endless' })
  host.propose('p2', { kind: 'y' })
  await until(() => failures.length > 0)
  t.deepEqual(machine.applied, ['endless'])
  t.like(failures[0], { message: 'Maximum call stack size exceeded' })
  await host.stop()
})

/** Proposes commands of 100 KB, one after the other. */
async function proposeLargeCommands (
  { host, machine }: Awaited<ReturnType<typeof startLeader>>, count: number
): Promise<void> {
  for (let index = 0; index < count; index++) {
    const appliedCount = machine.applied.length
    host.propose(`p${appliedCount}`, { kind: 'x', value: 'x'.repeat(100_000) })
    await until(() => machine.applied.length > appliedCount)
  }
}

// Guards against large entries that use up the memory of every replica, long before there are many of them.
test('large entries are covered by a snapshot long before there are many, which bounds the log in memory', async t => {
  const leader = await startLeader(t)
  await proposeLargeCommands(leader, 35)
  await until(() => leader.machine.snapshotCount === 3)
  t.is(leader.machine.snapshotCount, 3)
  t.true((leader.host.replica?.bytesAfterSnapshot ?? Infinity) < 2 * SNAPSHOT_AFTER_BYTES)
  await leader.host.stop()
})

test('a snapshot that is larger than the entries after it is not taken again at once', async t => {
  const leader = await startLeader(t)
  leader.machine.snapshotBytes = 3 * SNAPSHOT_AFTER_BYTES
  await proposeLargeCommands(leader, 35)
  t.is(leader.machine.snapshotCount, 1)
  await leader.host.stop()
})
