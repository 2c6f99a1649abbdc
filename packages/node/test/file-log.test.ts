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
import { FileLogError, LogFile, LogFiles, NodeLogFiles } from '../src/log-files.js'

type PersistEffect = Extract<ReplicaEffect<string>, { kind: 'persist' }>

const voters: VoterId[] = [{ nodeId: 'a', diskId: 'd0' }]
const folder = '/data'

function entry (index: number, term = 1): LogEntry<string> {
  return { index, term, logTimeMs: 1_700_000_000_000 + index, body: { kind: 'command', proposalId: `p${index}`, command: 'x' } }
}

function batch (...entries: Array<LogEntry<string>>): PersistEffect {
  return { kind: 'persist', persistId: 1, entries }
}

function snapshotAt (lastIndex: number, lastTerm = 1): Snapshot {
  return { lastIndex, lastTerm, logTimeMs: lastIndex, voters, outgoingVoters: [], content: new Uint8Array([1, 2, 3]) }
}

interface StoredFile {
  written: Uint8Array
  synced: Uint8Array
}

/** What a crash loses: nothing of what was written, what is not synced, or renames that are not synced. */
type Loss = 'none' | 'unsynced' | 'renames'

/** Files in memory that remember what is synced, and fail at a chosen step. */
class FakeFiles extends LogFiles {
  readonly names = new Map<string, StoredFile>()
  durableNames = new Map<string, StoredFile>()
  readonly #created = new Map<string, StoredFile>()
  steps: string[] = []
  failAtStep = Infinity
  failure: Error = new Error('the process ended')

  step (name: string): void {
    if (this.steps.length >= this.failAtStep) throw this.failure
    this.steps.push(name)
  }

  /** The next step of this kind fails; the ones after it would succeed. */
  failNext (name: string, code: string): void {
    const original = this.step.bind(this)
    this.step = next => {
      if (next !== name) return original(next)
      this.step = original
      throw Object.assign(new Error(code), { code })
    }
  }

  /**
   * What a new process finds. A power failure loses what is not synced, but names of new files may survive it while
   * renames do not.
   */
  restarted (loss: Loss): FakeFiles {
    const next = new FakeFiles()
    const names = { none: this.names, unsynced: this.durableNames, renames: this.#namesWithoutRenames() }[loss]
    for (const [path, file] of names) {
      const content = loss === 'none' ? file.written : file.synced
      next.names.set(path, { written: content, synced: content })
    }
    next.durableNames = new Map(next.names)
    return next
  }

  #namesWithoutRenames (): Map<string, StoredFile> {
    return new Map([...this.durableNames, ...this.#created])
  }

  content (pattern: RegExp): StoredFile {
    const found = [...this.names].filter(([path]) => pattern.test(path)).sort().at(-1)
    if (found === undefined) throw new Error(`no file matches ${String(pattern)}`)
    return found[1]
  }

  override async makeFolder (): Promise<void> {}

  override async list (path: string): Promise<string[]> {
    return [...this.names.keys()].filter(name => dirname(name) === path).map(name => basename(name))
  }

  override async read (path: string): Promise<Uint8Array> {
    return this.names.get(path)?.written ?? new Uint8Array()
  }

  override async open (path: string): Promise<LogFile> {
    if (!this.names.has(path)) this.step('create')
    const file = this.names.get(path) ?? { written: new Uint8Array(), synced: new Uint8Array() }
    if (!this.names.has(path)) this.#created.set(path, file)
    this.names.set(path, file)
    return new FakeFile(this, file)
  }

  override async rename (from: string, to: string): Promise<void> {
    this.step('rename')
    this.names.set(to, this.names.get(from) as StoredFile)
    this.names.delete(from)
  }

  override async remove (path: string): Promise<void> {
    this.step('remove')
    this.names.delete(path)
  }

  override async syncFolder (): Promise<void> {
    this.step('sync folder')
    this.durableNames = new Map(this.names)
    this.#created.clear()
  }
}

class FakeFile extends LogFile {
  readonly #files: FakeFiles
  readonly #file: StoredFile

  constructor (files: FakeFiles, file: StoredFile) {
    super()
    this.#files = files
    this.#file = file
  }

  override async write (bytes: Uint8Array, offset: number): Promise<void> {
    this.#files.step('write')
    const grown = new Uint8Array(Math.max(this.#file.written.byteLength, offset + bytes.byteLength))
    grown.set(this.#file.written)
    grown.set(bytes, offset)
    this.#file.written = grown
  }

  override async truncate (lengthBytes: number): Promise<void> {
    this.#files.step('truncate')
    this.#file.written = this.#file.written.slice(0, lengthBytes)
  }

  override async sync (): Promise<void> {
    this.#files.step('sync')
    this.#file.synced = this.#file.written
  }

  override async close (): Promise<void> {}
}

async function opened (files: LogFiles, segmentMaxBytes?: number): Promise<FileLog<string>> {
  const log = new FileLog<string>(folder, segmentMaxBytes === undefined ? { files } : { files, segmentMaxBytes })
  await log.recover()
  return log
}

async function recoveredIndexes (files: LogFiles): Promise<number[]> {
  const { entries } = await new FileLog<string>(folder, { files }).recover()
  return entries.map(({ index }) => index)
}

/** Three synced records. */
async function threeRecords (): Promise<FakeFiles> {
  const files = new FakeFiles()
  const log = await opened(files)
  for (const index of [1, 2, 3]) await log.persist(batch(entry(index)))
  return files
}

test('everything that was acknowledged is read back from a real folder after a restart', async t => {
  const path = await mkdtemp(join(tmpdir(), 'file-log-'))
  try {
    const log = new FileLog<string>(path, { segmentMaxBytes: 200 })
    t.deepEqual(await log.recover(), Replica.emptyLog())
    await log.persist({ ...batch(entry(1)), hardState: { term: 3, votedFor: voters[0] ?? null } })
    await Promise.all([2, 3, 4, 5, 6].map(async index => await log.persist(batch(entry(index)))))
    await log.persist(batch(entry(5, 2)))
    await log.saveSnapshot(snapshotAt(2))
    await log.close()
    const again = new FileLog<string>(path)
    const recovered = await again.recover()
    await again.close()
    t.deepEqual(recovered.hardState, { term: 3, votedFor: voters[0] ?? null })
    t.deepEqual(recovered.entries, [entry(3), entry(4), entry(5, 2)])
    t.like(recovered.snapshot, { lastIndex: 2, lastTerm: 1, voters })
    t.deepEqual([...recovered.snapshot?.content ?? []], [1, 2, 3])
  } finally {
    await rm(path, { recursive: true })
  }
})

test('a last record cut at any byte is dropped and its place is used again, so a crash while writing is harmless', async t => {
  const files = new FakeFiles()
  const log = await opened(files)
  for (const index of [1, 2]) await log.persist(batch(entry(index)))
  const keptBytes = files.content(/segment/).written.byteLength
  await log.persist(batch(entry(3)))
  const { written } = files.content(/segment/)
  for (let length = keptBytes; length < written.byteLength; length++) {
    const torn = files.restarted('none')
    torn.content(/segment/).written = written.slice(0, length)
    const reopened = await opened(torn)
    t.is(torn.content(/segment/).written.byteLength, keptBytes)
    await reopened.persist(batch(entry(3, 2)))
    t.deepEqual(await recoveredIndexes(torn), [1, 2, 3], `cut at byte ${length}`)
  }
})

test('a wrong byte anywhere in the last record drops that record only', async t => {
  const files = await threeRecords()
  const { written } = files.content(/segment/)
  const recordBytes = written.byteLength / 3
  for (let offset = written.byteLength - Math.floor(recordBytes / 2); offset < written.byteLength; offset++) {
    const damaged = files.restarted('none')
    damaged.content(/segment/).written = written.map((byte, position) => position === offset ? byte ^ 0xff : byte)
    t.deepEqual(await recoveredIndexes(damaged), [1, 2], `byte ${offset}`)
  }
})

test('a wrong byte anywhere before the last record stops the node, so no acknowledged entry is dropped silently', async t => {
  const files = await threeRecords()
  const { written } = files.content(/segment/)
  for (let offset = 0; offset < written.byteLength * 0.6; offset++) {
    const damaged = files.restarted('none')
    damaged.content(/segment/).written = written.map((byte, position) => position === offset ? byte ^ 0xff : byte)
    const error = await t.throwsAsync(recoveredIndexes(damaged), { instanceOf: FileLogError })
    t.like(error, { kind: 'damaged_record' }, `byte ${offset}`)
  }
})

test('a segment that is missing in the middle stops the node', async t => {
  const files = new FakeFiles()
  const log = await opened(files, 1)
  for (const index of [1, 2, 3]) await log.persist(batch(entry(index)))
  files.names.delete([...files.names.keys()][1] ?? '')
  await t.throwsAsync(recoveredIndexes(files), { instanceOf: FileLogError, message: /missing_entries/ })
})

const faults = [
  { step: 'write', code: 'ENOSPC', kind: 'disk_full' },
  { step: 'sync', code: 'EIO', kind: 'sync_failed' }
] as const

for (const { step, code, kind } of faults) {
  test(`after ${kind} nothing is acknowledged any more, and what was acknowledged stays`, async t => {
    const files = await threeRecords()
    const log = await opened(files)
    files.failNext(step, code)
    const first = t.throwsAsync(log.persist(batch(entry(4))), { instanceOf: FileLogError })
    const joined = t.throwsAsync(log.persist(batch(entry(5))), { instanceOf: FileLogError })
    t.like(await first, { kind, path: '/data/segment-0000000000000001.log' })
    t.like(await joined, { kind })
    t.like(await t.throwsAsync(log.persist(batch(entry(6)))), { kind })
    t.like(await t.throwsAsync(log.saveSnapshot(snapshotAt(2))), { kind })
    t.deepEqual(await recoveredIndexes(files.restarted('unsynced')), [1, 2, 3])
  })
}

test('writes that arrive during a sync share the next one, so a slow disk does not queue one sync per entry', async t => {
  const files = await threeRecords()
  const log = await opened(files)
  files.steps = []
  await Promise.all([4, 5, 6, 7, 8].map(async index => await log.persist(batch(entry(index)))))
  t.deepEqual(files.steps, ['write', 'sync', 'write', 'sync'])
})

/** Ends the process before each step of an operation in turn and recovers, with and without loss of unsynced data. */
async function crashAtEveryStep (
  operation: (log: FileLog<string>) => Promise<void>, check: (files: FakeFiles, detail: string) => Promise<void>
): Promise<number> {
  for (let step = 0; ; step++) {
    const files = await threeRecords()
    const log = await opened(files)
    files.steps = []
    files.failAtStep = step
    const isDone = await operation(log).then(() => true, () => false)
    for (const loss of ['none', 'unsynced', 'renames'] as const) {
      await check(files.restarted(loss), `${step} steps, lost: ${loss}`)
    }
    if (isDone) return step
  }
}

test('a crash at any step of saving a snapshot loses no entry, and the log works on', async t => {
  const steps = await crashAtEveryStep(async log => await log.saveSnapshot(snapshotAt(2)), async (files, detail) => {
    const log = new FileLog<string>(folder, { files })
    const { snapshot, entries } = await log.recover()
    const first = (snapshot?.lastIndex ?? 0) + 1
    t.deepEqual(entries.map(({ index }) => index), [1, 2, 3].filter(index => index >= first), detail)
    await log.persist(batch(entry(4)))
    t.is((await recoveredIndexes(files)).at(-1), 4, detail)
  })
  t.true(steps > 6)
})

test('a crash at any step of installing a snapshot leaves either the old log or the snapshot, never a mixture', async t => {
  const install: PersistEffect = { ...batch(), snapshot: snapshotAt(2, 7) }
  const steps = await crashAtEveryStep(async log => await log.persist(install), async (files, detail) => {
    const log = new FileLog<string>(folder, { files })
    const { snapshot, entries } = await log.recover()
    t.deepEqual(entries.map(({ index }) => index), snapshot === null ? [1, 2, 3] : [], detail)
    const next = snapshot === null ? 4 : 3
    await log.persist(batch(entry(next, 7)))
    t.is((await recoveredIndexes(files)).at(-1), next, detail)
  })
  t.true(steps > 6)
})

test('a damaged snapshot stops the node instead of starting from an older state', async t => {
  const files = await threeRecords()
  const log = await opened(files)
  await log.saveSnapshot(snapshotAt(2))
  const file = files.content(/snapshot/)
  file.written = file.written.map((byte, position) => position === 20 ? byte ^ 1 : byte)
  await t.throwsAsync(recoveredIndexes(files), { instanceOf: FileLogError, message: /damaged_snapshot/ })
})

test('a snapshot older than an installed one is ignored, so the log does not go back', async t => {
  const files = await threeRecords()
  const log = await opened(files)
  await log.persist({ ...batch(), snapshot: snapshotAt(9, 2) })
  await log.saveSnapshot(snapshotAt(2))
  const { snapshot } = await new FileLog<string>(folder, { files }).recover()
  t.is(snapshot?.lastIndex, 9)
})

/** Carries out what a single voter asks for until nothing is left; returns the applied commands. */
async function runAlone (replica: Replica<string>, log: FileLog<string>, first: ReplicaEvent<string>, nowMs: number) {
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

function replicaOn (recovered: RecoveredLog<string>): Replica<string> {
  return new Replica({ id: voters[0] as VoterId, settings: defaultReplicaSettings, recovered, random: new Random(1) })
}

test('a replica on this log has all of 500 entries after a power failure, so accepted changes never revert', async t => {
  const files = new FakeFiles()
  const log = await opened(files, 5_000)
  const initial = Replica.initialLog<string>(voters)
  await log.persist({ ...batch(...initial.entries), hardState: initial.hardState })
  const replica = replicaOn(initial)
  await runAlone(replica, log, { kind: 'tick' }, 0)
  await runAlone(replica, log, { kind: 'tick' }, 2_000)
  const commands = Array.from({ length: 500 }, (_, number) => `command ${number}`)
  for (const command of commands) {
    t.deepEqual(await runAlone(replica, log, { kind: 'propose', proposalId: command, command }, 2_001), [command])
  }
  const nextLog = new FileLog<string>(folder, { files: files.restarted('unsynced') })
  const restarted = replicaOn(await nextLog.recover())
  await runAlone(restarted, nextLog, { kind: 'tick' }, 0)
  t.deepEqual(await runAlone(restarted, nextLog, { kind: 'tick' }, 2_000), commands)
})

test('the disk ID stays the same, a new folder has another, and a crash while creating it leaves none', async t => {
  const path = await mkdtemp(join(tmpdir(), 'disk-id-'))
  try {
    const diskId = await readOrCreateDiskId(join(path, 'one'))
    t.is(await readOrCreateDiskId(join(path, 'one')), diskId)
    t.not(await readOrCreateDiskId(join(path, 'two')), diskId)
  } finally {
    await rm(path, { recursive: true })
  }
  const files = new FakeFiles()
  files.failNext('rename', 'EIO')
  await t.throwsAsync(readOrCreateDiskId(folder, files), { instanceOf: FileLogError })
  t.is((await readOrCreateDiskId(folder, files.restarted('none'))).length, 36)
})

test('a folder counts as initialised only with a log, so an interrupted first start can be repeated', async t => {
  const files = new FakeFiles()
  t.false(await isFolderInitialised(folder, files))
  await readOrCreateDiskId(folder, files)
  const log = await opened(files)
  t.false(await isFolderInitialised(folder, files))
  const { hardState, entries } = Replica.initialLog<string>(voters)
  await log.persist({ ...batch(...entries), hardState })
  t.true(await isFolderInitialised(folder, files))
  t.false(await isFolderInitialised(join(tmpdir(), 'no-such-folder'), new NodeLogFiles()))
})
