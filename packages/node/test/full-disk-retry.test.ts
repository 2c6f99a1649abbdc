/** A full disk: the log waits for space instead of failing, and acknowledges nothing before it has written. */
import { setTimeout as pause } from 'node:timers/promises'
import test from 'ava'
import { FileLog } from '../src/file-log.js'
import { FullDiskRetry } from '../src/full-disk-retry.js'
import { FileLogError, LogFile, LogFileSystem } from '../src/log-files.js'

const RETRY_INTERVAL_MS = 5
const FOLDER = '/data'

/** Holds files in memory; writes and syncs fail with the chosen code. */
class MemoryFileSystem extends LogFileSystem {
  readonly files = new Map<string, Buffer>()
  writeFailure: string | undefined
  syncFailure: string | undefined

  override async createFolder (): Promise<void> {}

  override async list (): Promise<string[]> {
    return [...this.files.keys()].map(path => path.slice(FOLDER.length + 1))
  }

  override async read (path: string): Promise<Uint8Array> {
    return this.files.get(path) ?? Buffer.alloc(0)
  }

  override async open (path: string): Promise<LogFile> {
    this.failIf(this.files.has(path) ? undefined : this.writeFailure)
    if (!this.files.has(path)) this.files.set(path, Buffer.alloc(0))
    return new MemoryFile(this, path)
  }

  override async rename (): Promise<void> {}

  override async remove (path: string): Promise<void> {
    this.files.delete(path)
  }

  override async syncFolder (): Promise<void> {}

  failIf (code: string | undefined): void {
    if (code !== undefined) throw Object.assign(new Error(code), { code })
  }
}

class MemoryFile extends LogFile {
  constructor (readonly fileSystem: MemoryFileSystem, readonly path: string) {
    super()
  }

  /** A failing write leaves a part of its bytes, as on a real disk. */
  override async write (bytes: Uint8Array, offset: number): Promise<void> {
    const { writeFailure } = this.fileSystem
    const written = writeFailure === undefined ? bytes : bytes.subarray(0, bytes.byteLength >> 1)
    const before = this.fileSystem.files.get(this.path) ?? Buffer.alloc(0)
    this.fileSystem.files.set(this.path, Buffer.concat([before.subarray(0, offset), written]))
    this.fileSystem.failIf(writeFailure)
  }

  override async truncate (lengthBytes: number): Promise<void> {
    const content = this.fileSystem.files.get(this.path) ?? Buffer.alloc(0)
    this.fileSystem.files.set(this.path, content.subarray(0, lengthBytes))
  }

  override async sync (): Promise<void> {
    this.fileSystem.failIf(this.fileSystem.syncFailure)
  }

  override async close (): Promise<void> {}
}

function createEffect (index: number): Parameters<FileLog<string>['persist']>[0] {
  const body = { kind: 'command', proposalId: `p${index}`, command: 'x' } as const
  return { kind: 'persist', persistId: index, entries: [{ index, term: 1, logTimeMs: 1, body }] }
}

async function createLog (): Promise<{ inner: MemoryFileSystem, log: FileLog<string>, events: string[] }> {
  const inner = new MemoryFileSystem()
  const events: string[] = []
  const fileSystem = new FullDiskRetry(inner, {
    retryIntervalMs: RETRY_INTERVAL_MS,
    onDiskFull: () => { events.push('full') },
    onDiskSpace: () => { events.push('space') }
  })
  const log = new FileLog<string>(FOLDER, { fileSystem })
  await log.recover()
  await log.persist(createEffect(1))
  return { inner, log, events }
}

test('a write to a full disk is acknowledged only once there is space, and is then recovered whole', async t => {
  const { inner, log, events } = await createLog()
  inner.writeFailure = 'ENOSPC'
  let isAcknowledged = false
  const persisted = log.persist(createEffect(2)).then(() => { isAcknowledged = true })
  await pause(RETRY_INTERVAL_MS * 4)
  t.false(isAcknowledged)
  t.true(events.length > 0 && !events.includes('space'))
  inner.writeFailure = undefined
  await persisted
  t.is(events.at(-1), 'space')
  const recovered = await new FileLog<string>(FOLDER, { fileSystem: inner }).recover()
  t.deepEqual(recovered.entries.map(entry => entry.index), [1, 2])
})

test('a process that ends while its disk is full recovers what it had acknowledged', async t => {
  const { inner, log } = await createLog()
  inner.writeFailure = 'EDQUOT'
  log.persist(createEffect(2)).catch(() => {})
  await pause(RETRY_INTERVAL_MS * 4)
  const files = new Map(inner.files)
  inner.writeFailure = undefined
  const afterCrash = new MemoryFileSystem()
  for (const [path, content] of files) afterCrash.files.set(path, content)
  const recovered = await new FileLog<string>(FOLDER, { fileSystem: afterCrash }).recover()
  t.deepEqual(recovered.entries.map(entry => entry.index), [1])
})

test('a failed sync is not repeated, since the operating system may have dropped the data', async t => {
  const { inner, log } = await createLog()
  inner.syncFailure = 'ENOSPC'
  const error = await t.throwsAsync(log.persist(createEffect(2)), { instanceOf: FileLogError })
  t.is(error.kind, 'disk_full')
})
