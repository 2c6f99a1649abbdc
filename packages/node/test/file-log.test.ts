import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { basename, dirname, join } from 'node:path'
import test from 'ava'
import {
  defaultReplicaSettings, Replica, type LogEntry, type RecoveredLog, type ReplicaEffect, type ReplicaEvent,
  type Snapshot, type VoterId
} from '@comfreygrade/consensus'
import { Random } from '@comfreygrade/core'
import { readOrCreateDiskId } from '../src/disk-id.js'
import { FileLog, isFolderInitialised } from '../src/file-log.js'
import { FileLogError, LogFile, LogFileSystem, OsLogFileSystem } from '../src/log-files.js'

type PersistEffect = Extract<ReplicaEffect<string>, { kind: 'persist' }>

const voters: VoterId[] = [{ nodeId: 'a', diskId: 'd0' }]
const folder = '/data'

function createEntry (index: number, term = 1): LogEntry<string> {
  return { index, term, logTimeMs: 1_700_000_000_000 + index, body: { kind: 'command', proposalId: `p${index}`, command: 'x' } }
}

function createPersistEffect (...entries: Array<LogEntry<string>>): PersistEffect {
  return { kind: 'persist', persistId: 1, entries }
}

function createSnapshot (lastIndex: number, lastTerm = 1): Snapshot {
  return { lastIndex, lastTerm, logTimeMs: lastIndex, voters, outgoingVoters: [], content: new Uint8Array([1, 2, 3]) }
}

interface StoredFile {
  written: Uint8Array
  synced: Uint8Array
}

/**
 * Data that a crash loses:
 * - `none`: nothing, as when only the process ends;
 * - `unsynced`: content and names that were not synced;
 * - `renames`: the same, but new files keep the names under which they were created.
 */
type DataLoss = 'none' | 'unsynced' | 'renames'

/** In-memory file system that tracks which data is synced and fails at a chosen step. */
class FakeFileSystem extends LogFileSystem {
  readonly files = new Map<string, StoredFile>()
  durableFiles = new Map<string, StoredFile>()
  readonly #createdFiles = new Map<string, StoredFile>()
  steps: string[] = []
  failAtStep = Infinity
  failure: Error = new Error('the process ended')

  recordStep (name: string): void {
    if (this.steps.length >= this.failAtStep) throw this.failure
    this.steps.push(name)
  }

  /** Makes the next step of this kind fail; later steps succeed. */
  failNext (name: string, code: string): void {
    const original = this.recordStep.bind(this)
    this.recordStep = next => {
      if (next !== name) return original(next)
      this.recordStep = original
      throw Object.assign(new Error(code), { code })
    }
  }

  /** File system as a new process finds it after a crash with this loss. */
  afterRestart (loss: DataLoss): FakeFileSystem {
    const next = new FakeFileSystem()
    const survivingFiles = { none: this.files, unsynced: this.durableFiles, renames: this.#filesWithoutRenames() }[loss]
    for (const [path, file] of survivingFiles) {
      const content = loss === 'none' ? file.written : file.synced
      next.files.set(path, { written: content, synced: content })
    }
    next.durableFiles = new Map(next.files)
    return next
  }

  #filesWithoutRenames (): Map<string, StoredFile> {
    return new Map([...this.durableFiles, ...this.#createdFiles])
  }

  findFile (pattern: RegExp): StoredFile {
    const found = [...this.files].filter(([path]) => pattern.test(path)).sort().at(-1)
    if (found === undefined) throw new Error(`no file matches ${String(pattern)}`)
    return found[1]
  }

  override async createFolder (): Promise<void> {}

  override async list (path: string): Promise<string[]> {
    return [...this.files.keys()].filter(name => dirname(name) === path).map(name => basename(name))
  }

  override async read (path: string): Promise<Uint8Array> {
    return this.files.get(path)?.written ?? new Uint8Array()
  }

  override async open (path: string): Promise<LogFile> {
    if (!this.files.has(path)) this.recordStep('create')
    const file = this.files.get(path) ?? { written: new Uint8Array(), synced: new Uint8Array() }
    if (!this.files.has(path)) this.#createdFiles.set(path, file)
    this.files.set(path, file)
    return new FakeLogFile(this, file)
  }

  override async rename (from: string, to: string): Promise<void> {
    this.recordStep('rename')
    this.files.set(to, this.files.get(from) as StoredFile)
    this.files.delete(from)
  }

  override async remove (path: string): Promise<void> {
    this.recordStep('remove')
    this.files.delete(path)
  }

  override async syncFolder (): Promise<void> {
    this.recordStep('sync folder')
    this.durableFiles = new Map(this.files)
    this.#createdFiles.clear()
  }
}

class FakeLogFile extends LogFile {
  readonly #fileSystem: FakeFileSystem
  readonly #file: StoredFile

  constructor (fileSystem: FakeFileSystem, file: StoredFile) {
    super()
    this.#fileSystem = fileSystem
    this.#file = file
  }

  override async write (bytes: Uint8Array, offset: number): Promise<void> {
    this.#fileSystem.recordStep('write')
    const grown = new Uint8Array(Math.max(this.#file.written.byteLength, offset + bytes.byteLength))
    grown.set(this.#file.written)
    grown.set(bytes, offset)
    this.#file.written = grown
  }

  override async truncate (lengthBytes: number): Promise<void> {
    this.#fileSystem.recordStep('truncate')
    this.#file.written = this.#file.written.slice(0, lengthBytes)
  }

  override async sync (): Promise<void> {
    this.#fileSystem.recordStep('sync')
    this.#file.synced = this.#file.written
  }

  override async close (): Promise<void> {}
}

async function openLog (fileSystem: LogFileSystem, segmentMaxBytes?: number): Promise<FileLog<string>> {
  const log = new FileLog<string>(
    folder, segmentMaxBytes === undefined ? { fileSystem } : { fileSystem, segmentMaxBytes }
  )
  await log.recover()
  return log
}

async function recoverIndexes (fileSystem: LogFileSystem): Promise<number[]> {
  const { entries } = await new FileLog<string>(folder, { fileSystem }).recover()
  return entries.map(({ index }) => index)
}

/** File system with a log of three synced records. */
async function writeThreeRecords (): Promise<FakeFileSystem> {
  const fileSystem = new FakeFileSystem()
  const log = await openLog(fileSystem)
  for (const index of [1, 2, 3]) await log.persist(createPersistEffect(createEntry(index)))
  return fileSystem
}

test('all acknowledged writes are recovered from a real folder after a restart', async t => {
  const path = await mkdtemp(join(tmpdir(), 'file-log-'))
  try {
    const log = new FileLog<string>(path, { segmentMaxBytes: 200 })
    t.deepEqual(await log.recover(), Replica.emptyLog())
    await log.persist({ ...createPersistEffect(createEntry(1)), hardState: { term: 3, votedFor: voters[0] ?? null } })
    await Promise.all([2, 3, 4, 5, 6].map(async index => await log.persist(createPersistEffect(createEntry(index)))))
    await log.persist(createPersistEffect(createEntry(5, 2)))
    await log.saveSnapshot(createSnapshot(2))
    await log.close()
    const again = new FileLog<string>(path)
    const recovered = await again.recover()
    await again.close()
    t.deepEqual(recovered.hardState, { term: 3, votedFor: voters[0] ?? null })
    t.deepEqual(recovered.entries, [createEntry(3), createEntry(4), createEntry(5, 2)])
    t.like(recovered.snapshot, { lastIndex: 2, lastTerm: 1, voters })
    t.deepEqual([...recovered.snapshot?.content ?? []], [1, 2, 3])
  } finally {
    await rm(path, { recursive: true })
  }
})

test('a torn last record is truncated at any cut and its place reused, so a crash in a write loses nothing acknowledged', async t => {
  const fileSystem = new FakeFileSystem()
  const log = await openLog(fileSystem)
  for (const index of [1, 2]) await log.persist(createPersistEffect(createEntry(index)))
  const keptBytes = fileSystem.findFile(/segment/).written.byteLength
  await log.persist(createPersistEffect(createEntry(3)))
  const { written } = fileSystem.findFile(/segment/)
  for (let length = keptBytes; length < written.byteLength; length++) {
    const torn = fileSystem.afterRestart('none')
    torn.findFile(/segment/).written = written.slice(0, length)
    const reopened = await openLog(torn)
    t.is(torn.findFile(/segment/).written.byteLength, keptBytes)
    await reopened.persist(createPersistEffect(createEntry(3, 2)))
    t.deepEqual(await recoverIndexes(torn), [1, 2, 3], `cut at byte ${length}`)
  }
})

test('a damaged byte near the end of the last record drops only that record', async t => {
  const fileSystem = await writeThreeRecords()
  const { written } = fileSystem.findFile(/segment/)
  // The first record is the longest, as it also holds the hard state, so half of the average is within the last record.
  const recordBytes = written.byteLength / 3
  for (let offset = written.byteLength - Math.floor(recordBytes / 2); offset < written.byteLength; offset++) {
    const damaged = fileSystem.afterRestart('none')
    damaged.findFile(/segment/).written = written.map((byte, position) => position === offset ? byte ^ 0xff : byte)
    t.deepEqual(await recoverIndexes(damaged), [1, 2], `byte ${offset}`)
  }
})

test('a damaged byte in the first 60 % of the log fails recovery, so no acknowledged entry is lost silently', async t => {
  const fileSystem = await writeThreeRecords()
  const { written } = fileSystem.findFile(/segment/)
  // The first two of the three records fill more than 60 % of the segment.
  for (let offset = 0; offset < written.byteLength * 0.6; offset++) {
    const damaged = fileSystem.afterRestart('none')
    damaged.findFile(/segment/).written = written.map((byte, position) => position === offset ? byte ^ 0xff : byte)
    const error = await t.throwsAsync(recoverIndexes(damaged), { instanceOf: FileLogError })
    t.like(error, { kind: 'damaged_record' }, `byte ${offset}`)
  }
})

test('a missing segment in the middle of the log fails recovery', async t => {
  const fileSystem = new FakeFileSystem()
  const log = await openLog(fileSystem, 1)
  for (const index of [1, 2, 3]) await log.persist(createPersistEffect(createEntry(index)))
  fileSystem.files.delete([...fileSystem.files.keys()][1] ?? '')
  await t.throwsAsync(recoverIndexes(fileSystem), { instanceOf: FileLogError, message: /missing_entries/ })
})

const faults = [
  { step: 'write', code: 'ENOSPC', kind: 'disk_full' },
  { step: 'sync', code: 'EIO', kind: 'sync_failed' }
] as const

for (const { step, code, kind } of faults) {
  test(`after ${kind} no write is acknowledged, and earlier acknowledged writes are kept`, async t => {
    const fileSystem = await writeThreeRecords()
    const log = await openLog(fileSystem)
    fileSystem.failNext(step, code)
    const first = t.throwsAsync(log.persist(createPersistEffect(createEntry(4))), { instanceOf: FileLogError })
    const joined = t.throwsAsync(log.persist(createPersistEffect(createEntry(5))), { instanceOf: FileLogError })
    t.like(await first, { kind, path: '/data/segment-0000000000000001.log' })
    t.like(await joined, { kind })
    t.like(await t.throwsAsync(log.persist(createPersistEffect(createEntry(6)))), { kind })
    t.like(await t.throwsAsync(log.saveSnapshot(createSnapshot(2))), { kind })
    t.deepEqual(await recoverIndexes(fileSystem.afterRestart('unsynced')), [1, 2, 3])
  })
}

test('writes that arrive during a sync share the next sync, so a slow disk does not need one sync per entry', async t => {
  const fileSystem = await writeThreeRecords()
  const log = await openLog(fileSystem)
  fileSystem.steps = []
  await Promise.all([4, 5, 6, 7, 8].map(async index => await log.persist(createPersistEffect(createEntry(index)))))
  t.deepEqual(fileSystem.steps, ['write', 'sync', 'write', 'sync'])
})

/**
 * Runs an operation repeatedly, crashing before its first step, its second step and so on, and checks the recovery
 * after each kind of data loss. Returns the number of steps of the whole operation, by which the caller checks that it
 * was interrupted several times.
 */
async function crashAtEveryStep (
  operation: (log: FileLog<string>) => Promise<void>,
  check: (fileSystem: FakeFileSystem, detail: string) => Promise<void>
): Promise<number> {
  for (let step = 0; ; step++) {
    const fileSystem = await writeThreeRecords()
    const log = await openLog(fileSystem)
    fileSystem.steps = []
    fileSystem.failAtStep = step
    const isDone = await operation(log).then(() => true, () => false)
    for (const loss of ['none', 'unsynced', 'renames'] as const) {
      await check(fileSystem.afterRestart(loss), `${step} steps, lost: ${loss}`)
    }
    if (isDone) return step
  }
}

test('a crash at any step of saving a snapshot loses no entry, and the recovered log accepts writes', async t => {
  const steps = await crashAtEveryStep(
    async log => await log.saveSnapshot(createSnapshot(2)),
    async (fileSystem, detail) => {
      const log = new FileLog<string>(folder, { fileSystem })
      const { snapshot, entries } = await log.recover()
      const first = (snapshot?.lastIndex ?? 0) + 1
      t.deepEqual(entries.map(({ index }) => index), [1, 2, 3].filter(index => index >= first), detail)
      await log.persist(createPersistEffect(createEntry(4)))
      t.is((await recoverIndexes(fileSystem)).at(-1), 4, detail)
    }
  )
  t.true(steps > 6)
})

test('a crash at any step of installing a snapshot leaves either the old log or the snapshot, never a mix', async t => {
  const install: PersistEffect = { ...createPersistEffect(), snapshot: createSnapshot(2, 7) }
  const steps = await crashAtEveryStep(async log => await log.persist(install), async (fileSystem, detail) => {
    const log = new FileLog<string>(folder, { fileSystem })
    const { snapshot, entries } = await log.recover()
    t.deepEqual(entries.map(({ index }) => index), snapshot === null ? [1, 2, 3] : [], detail)
    const next = snapshot === null ? 4 : 3
    await log.persist(createPersistEffect(createEntry(next, 7)))
    t.is((await recoverIndexes(fileSystem)).at(-1), next, detail)
  })
  t.true(steps > 6)
})

test('a damaged snapshot fails recovery, so the node does not start from an older state', async t => {
  const fileSystem = await writeThreeRecords()
  const log = await openLog(fileSystem)
  await log.saveSnapshot(createSnapshot(2))
  const file = fileSystem.findFile(/snapshot/)
  file.written = file.written.map((byte, position) => position === 20 ? byte ^ 1 : byte)
  await t.throwsAsync(recoverIndexes(fileSystem), { instanceOf: FileLogError, message: /damaged_snapshot/ })
})

test('a saved snapshot older than the installed one is ignored, so the state does not go back', async t => {
  const fileSystem = await writeThreeRecords()
  const log = await openLog(fileSystem)
  await log.persist({ ...createPersistEffect(), snapshot: createSnapshot(9, 2) })
  await log.saveSnapshot(createSnapshot(2))
  const { snapshot } = await new FileLog<string>(folder, { fileSystem }).recover()
  t.is(snapshot?.lastIndex, 9)
})

/** Executes the effects of a single-voter replica until there are none left; returns the applied commands. */
async function runSingleVoter (
  replica: Replica<string>, log: FileLog<string>, first: ReplicaEvent<string>, nowMs: number
) {
  const applied: string[] = []
  const events = [first]
  for (let event = events.shift(); event !== undefined; event = events.shift()) {
    for (const effect of replica.step(event, nowMs)) {
      if (effect.kind === 'persist') {
        await log.persist(effect)
        events.push({ kind: 'persisted', persistId: effect.persistId })
      }
      if (effect.kind !== 'apply') continue
      for (const { body } of effect.entries) if (body.kind === 'command') applied.push(body.command)
    }
  }
  return applied
}

function createReplica (recovered: RecoveredLog<string>): Replica<string> {
  return new Replica({ id: voters[0] as VoterId, settings: defaultReplicaSettings, recovered, random: new Random(1) })
}

test('a replica recovers all 500 committed entries after a power failure, so accepted changes never revert', async t => {
  const fileSystem = new FakeFileSystem()
  const log = await openLog(fileSystem, 5_000)
  const initial = Replica.initialLog<string>(voters)
  await log.persist({ ...createPersistEffect(...initial.entries), hardState: initial.hardState })
  const replica = createReplica(initial)
  await runSingleVoter(replica, log, { kind: 'tick' }, 0)
  await runSingleVoter(replica, log, { kind: 'tick' }, 2_000)
  const commands = Array.from({ length: 500 }, (_, number) => `command ${number}`)
  for (const command of commands) {
    t.deepEqual(await runSingleVoter(replica, log, { kind: 'propose', proposalId: command, command }, 2_001), [command])
  }
  const nextLog = new FileLog<string>(folder, { fileSystem: fileSystem.afterRestart('unsynced') })
  const restarted = createReplica(await nextLog.recover())
  await runSingleVoter(restarted, nextLog, { kind: 'tick' }, 0)
  t.deepEqual(await runSingleVoter(restarted, nextLog, { kind: 'tick' }, 2_000), commands)
})

test('a disk ID is stable, unique per folder, and not left incomplete by a crash during its creation', async t => {
  const path = await mkdtemp(join(tmpdir(), 'disk-id-'))
  try {
    const diskId = await readOrCreateDiskId(join(path, 'one'))
    t.is(await readOrCreateDiskId(join(path, 'one')), diskId)
    t.not(await readOrCreateDiskId(join(path, 'two')), diskId)
  } finally {
    await rm(path, { recursive: true })
  }
  const fileSystem = new FakeFileSystem()
  fileSystem.failNext('rename', 'EIO')
  await t.throwsAsync(readOrCreateDiskId(folder, fileSystem), { instanceOf: FileLogError })
  t.is((await readOrCreateDiskId(folder, fileSystem.afterRestart('none'))).length, 36)
})

test('isFolderInitialised is true only once the folder has log entries, so not for one with only a disk ID', async t => {
  const fileSystem = new FakeFileSystem()
  t.false(await isFolderInitialised(folder, fileSystem))
  await readOrCreateDiskId(folder, fileSystem)
  const log = await openLog(fileSystem)
  t.false(await isFolderInitialised(folder, fileSystem))
  const { hardState, entries } = Replica.initialLog<string>(voters)
  await log.persist({ ...createPersistEffect(...entries), hardState })
  t.true(await isFolderInitialised(folder, fileSystem))
  t.false(await isFolderInitialised(join(tmpdir(), 'no-such-folder'), new OsLogFileSystem()))
})
