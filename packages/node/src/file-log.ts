/** Replica log in a folder: append-only segment files and a snapshot file. */
import { basename, join } from 'node:path'
import {
  LogStorage, type HardState, type LogEntry, type RecoveredLog, type ReplicaEffect, type Snapshot
} from '@comfreygrade/consensus'
import {
  FileLogError, OsLogFileSystem, TEMPORARY_SUFFIX, withFileLogError, writeAndSync, type LogFile, type LogFileSystem
} from './log-files.js'
import { encodeRecord, readRecords, type RecordBody } from './log-records.js'
import { LogReplay, type Segment } from './log-replay.js'

const DEFAULT_SEGMENT_MAX_BYTES = 16_777_216
const SEGMENT_PATTERN = /^segment-(\d+)\.log$/
const SNAPSHOT_PATTERN = /^snapshot-(\d+)\.cbor$/

type PersistEffect<Command> = Extract<ReplicaEffect<Command>, { kind: 'persist' }>

/** A queued write. */
type WriteRequest<Command> = { readonly resolve: () => void, readonly reject: (cause: unknown) => void } & (
  | { readonly kind: 'persist', readonly effect: PersistEffect<Command> }
  | { readonly kind: 'commit_snapshot', readonly snapshot: Snapshot, readonly temporaryPath: string }
)

/** Options of {@link FileLog}. */
export interface FileLogOptions {
  /** Size from which the next write starts a new segment. */
  readonly segmentMaxBytes?: number
  readonly fileSystem?: LogFileSystem
}

/**
 * Log storage in a folder, with group commit: one batch is written at a time, and writes that arrive meanwhile form
 * the next batch. After an error nothing more is written or acknowledged.
 *
 * @example
 * const log = new FileLog<MyCommand>('/var/lib/comfreygrade')
 * const recovered = await log.recover()
 * await log.persist({ kind: 'persist', persistId: 1, entries })
 */
export class FileLog<Command> extends LogStorage<Command> {
  readonly #folder: string
  readonly #fileSystem: LogFileSystem
  readonly #segmentMaxBytes: number
  #hardState: HardState = { term: 0, votedFor: null }
  #segments: Segment[] = []
  #file: LogFile | null = null
  #snapshotIndex = 0
  #temporaryFileNumber = 0
  #queue: Array<WriteRequest<Command>> = []
  #flushing: Promise<void> | null = null
  #failure: FileLogError | null = null

  constructor (folder: string, options: FileLogOptions = {}) {
    super()
    this.#folder = folder
    this.#fileSystem = options.fileSystem ?? new OsLogFileSystem()
    this.#segmentMaxBytes = options.segmentMaxBytes ?? DEFAULT_SEGMENT_MAX_BYTES
  }

  override async recover (): Promise<RecoveredLog<Command>> {
    await withFileLogError('write_failed', this.#folder, 0, async () => await this.#fileSystem.createFolder(this.#folder))
    const names = await this.#listNames()
    for (const name of names.filter(name => name.endsWith(TEMPORARY_SUFFIX))) await this.#remove(name)
    const snapshot = await this.#readNewestSnapshot(names)
    const replay = await this.#replaySegments(names)
    this.#hardState = replay.hardState
    const entries = snapshot === null ? replay.entries : replay.entriesAfter(snapshot)
    if (entries === undefined) await this.#startSegment({ resetToIndex: this.#snapshotIndex })
    else this.#checkContiguous(entries)
    await this.#removeCoveredFiles(names)
    return { hardState: replay.hardState, snapshot, entries: entries ?? [] }
  }

  #checkContiguous (entries: ReadonlyArray<LogEntry<Command>>): void {
    const first = entries[0]
    if (first === undefined || first.index === this.#snapshotIndex + 1) return
    throw new FileLogError('missing_entries', this.#folder, 0)
  }

  async #readNewestSnapshot (names: readonly string[]): Promise<Snapshot | null> {
    const name = names.filter(candidate => SNAPSHOT_PATTERN.test(candidate)).sort().at(-1)
    if (name === undefined) return null
    const path = join(this.#folder, name)
    const content = await this.#read(path)
    const { bodies, isTorn } = readRecords<Snapshot>(content, path, true)
    const snapshot = bodies[0]
    if (isTorn || snapshot === undefined) throw new FileLogError('damaged_snapshot', path, 0)
    this.#snapshotIndex = snapshot.lastIndex
    return snapshot
  }

  async #replaySegments (names: readonly string[]): Promise<LogReplay<Command>> {
    const replay = new LogReplay<Command>()
    const segmentNames = names.filter(name => SEGMENT_PATTERN.test(name)).sort()
    for (const name of segmentNames) await this.#replaySegment(replay, name, name === segmentNames.at(-1))
    return replay
  }

  async #replaySegment (replay: LogReplay<Command>, name: string, isLast: boolean): Promise<void> {
    const path = join(this.#folder, name)
    const content = await this.#read(path)
    const { bodies, validBytes, isTorn } = readRecords<RecordBody<Command>>(content, path, isLast)
    const segment = { number: parseSegmentNumber(name), path, maxIndex: 0, sizeBytes: validBytes }
    for (const body of bodies) replay.apply(body, segment)
    this.#segments.push(segment)
    if (!isLast) return
    this.#file = await withFileLogError('write_failed', path, 0, async () => await this.#fileSystem.open(path))
    if (isTorn) await this.#truncate(this.#file, segment)
  }

  async #truncate (file: LogFile, segment: Segment): Promise<void> {
    await withFileLogError(
      'write_failed', segment.path, segment.sizeBytes, async () => await file.truncate(segment.sizeBytes)
    )
    await withFileLogError('sync_failed', segment.path, segment.sizeBytes, async () => await file.sync())
  }

  override async persist (effect: PersistEffect<Command>): Promise<void> {
    await new Promise<void>((resolve, reject) => this.#enqueue({ kind: 'persist', effect, resolve, reject }))
  }

  /** Writes the content outside the queue, so that log writes continue meanwhile; only making it current is queued. */
  override async saveSnapshot (snapshot: Snapshot): Promise<void> {
    const temporaryPath = await this.#stopOnFailure(async () => await this.#writeTemporarySnapshot(snapshot))
    await new Promise<void>((resolve, reject) => {
      this.#enqueue({ kind: 'commit_snapshot', snapshot, temporaryPath, resolve, reject })
    })
  }

  override async close (): Promise<void> {
    await this.#flushing
    this.#failure ??= new FileLogError('closed', this.#folder, 0)
    await this.#file?.close()
    this.#file = null
  }

  #enqueue (request: WriteRequest<Command>): void {
    if (this.#failure !== null) return request.reject(this.#failure)
    this.#queue.push(request)
    this.#flushing ??= this.#flush()
  }

  async #flush (): Promise<void> {
    while (this.#queue.length > 0) {
      const batch = this.#takeBatch()
      try {
        await this.#stopOnFailure(async () => await this.#executeBatch(batch))
        for (const request of batch) request.resolve()
      } catch (cause) {
        for (const request of [...batch, ...this.#queue.splice(0)]) request.reject(cause)
      }
    }
    this.#flushing = null
  }

  /** Runs an operation; after the first failure, this and all later operations fail with that error. */
  async #stopOnFailure<T> (operation: () => Promise<T>): Promise<T> {
    if (this.#failure !== null) throw this.#failure
    try {
      return await operation()
    } catch (cause) {
      this.#failure = cause instanceof FileLogError ? cause : new FileLogError('write_failed', this.#folder, 0, cause)
      throw this.#failure
    }
  }

  /** Takes the first request, together with the following ones as long as all can share one record. */
  #takeBatch (): Array<WriteRequest<Command>> {
    const firstUnbatchable = this.#queue.findIndex(request => !isBatchable(request))
    const count = firstUnbatchable === -1 ? this.#queue.length : Math.max(1, firstUnbatchable)
    return this.#queue.splice(0, count)
  }

  async #executeBatch (batch: ReadonlyArray<WriteRequest<Command>>): Promise<void> {
    const first = batch[0]
    if (first?.kind === 'commit_snapshot') return await this.#commitSnapshot(first.snapshot, first.temporaryPath)
    const effects = batch.filter(request => request.kind === 'persist').map(request => request.effect)
    this.#hardState = effects.findLast(effect => effect.hardState !== undefined)?.hardState ?? this.#hardState
    const installing = effects.find(effect => effect.snapshot !== undefined)
    if (installing?.snapshot !== undefined) await this.#installSnapshot(installing.snapshot, installing.entries)
    else await this.#writeEffects(effects)
  }

  async #writeEffects (effects: ReadonlyArray<PersistEffect<Command>>): Promise<void> {
    const hardState = effects.some(effect => effect.hardState !== undefined) ? this.#hardState : undefined
    const entries = effects.flatMap(effect => effect.entries)
    const segment = this.#segments.at(-1)
    const isFull = segment === undefined || segment.sizeBytes >= this.#segmentMaxBytes
    if (isFull) await this.#startSegment({ entries })
    else await this.#appendRecord(hardState === undefined ? { entries } : { hardState, entries })
  }

  /** Replaces the log by a snapshot of the leader: first writes the snapshot, then a segment that drops old entries. */
  async #installSnapshot (snapshot: Snapshot, entries: ReadonlyArray<LogEntry<Command>>): Promise<void> {
    const temporaryPath = await this.#writeTemporarySnapshot(snapshot)
    await this.#publishSnapshot(snapshot, temporaryPath)
    await this.#startSegment({ resetToIndex: snapshot.lastIndex, entries })
    await this.#removeCoveredFiles(await this.#listNames())
  }

  /** Makes a snapshot of this replica current, unless a newer one of the leader was installed meanwhile. */
  async #commitSnapshot (snapshot: Snapshot, temporaryPath: string): Promise<void> {
    if (snapshot.lastIndex <= this.#snapshotIndex) return await this.#remove(basename(temporaryPath))
    await this.#publishSnapshot(snapshot, temporaryPath)
    await this.#startSegment({})
    await this.#removeCoveredFiles(await this.#listNames())
  }

  async #writeTemporarySnapshot (snapshot: Snapshot): Promise<string> {
    const path = join(this.#folder, `snapshot-${this.#temporaryFileNumber++}${TEMPORARY_SUFFIX}`)
    await writeAndSync(this.#fileSystem, path, encodeRecord(snapshot, path))
    return path
  }

  async #publishSnapshot (snapshot: Snapshot, temporaryPath: string): Promise<void> {
    const path = join(this.#folder, `snapshot-${padNumber(snapshot.lastIndex)}.cbor`)
    await withFileLogError('write_failed', path, 0, async () => await this.#fileSystem.rename(temporaryPath, path))
    await this.#syncFolder()
    this.#snapshotIndex = snapshot.lastIndex
  }

  /** Starts a segment with the current hard state, so that older segments can be removed. */
  async #startSegment (body: Partial<RecordBody<Command>>): Promise<void> {
    const number = (this.#segments.at(-1)?.number ?? 0) + 1
    const path = join(this.#folder, `segment-${padNumber(number)}.log`)
    const previous = this.#file
    this.#file = await withFileLogError('write_failed', path, 0, async () => await this.#fileSystem.open(path))
    await previous?.close()
    this.#segments.push({ number, path, maxIndex: 0, sizeBytes: 0 })
    await this.#appendRecord({ hardState: this.#hardState, entries: [], ...body })
    await this.#syncFolder()
  }

  async #appendRecord (body: RecordBody<Command>): Promise<void> {
    const segment = this.#segments.at(-1)
    const file = this.#file
    if (segment === undefined || file === null) throw new FileLogError('closed', this.#folder, 0)
    const { path, sizeBytes } = segment
    const record = encodeRecord(body, path)
    await withFileLogError('write_failed', path, sizeBytes, async () => await file.write(record, sizeBytes))
    await withFileLogError('sync_failed', path, sizeBytes, async () => await file.sync())
    segment.sizeBytes += record.byteLength
    for (const entry of body.entries) segment.maxIndex = Math.max(segment.maxIndex, entry.index)
  }

  /** Removes files that the latest snapshot covers: older snapshots, and the oldest segments. */
  async #removeCoveredFiles (names: readonly string[]): Promise<void> {
    const newest = `snapshot-${padNumber(this.#snapshotIndex)}.cbor`
    const oldSnapshots = names.filter(name => SNAPSHOT_PATTERN.test(name) && name < newest)
    for (const name of oldSnapshots) await this.#remove(name)
    while (this.#segments.length > 1 && (this.#segments[0]?.maxIndex ?? 0) <= this.#snapshotIndex) {
      const covered = this.#segments.shift()
      if (covered !== undefined) await this.#remove(basename(covered.path))
    }
  }

  async #listNames (): Promise<string[]> {
    return await withFileLogError('read_failed', this.#folder, 0, async () => await this.#fileSystem.list(this.#folder))
  }

  async #read (path: string): Promise<Uint8Array> {
    return await withFileLogError('read_failed', path, 0, async () => await this.#fileSystem.read(path))
  }

  async #remove (name: string): Promise<void> {
    const path = join(this.#folder, name)
    await withFileLogError('write_failed', path, 0, async () => await this.#fileSystem.remove(path))
  }

  async #syncFolder (): Promise<void> {
    await withFileLogError('sync_failed', this.#folder, 0, async () => await this.#fileSystem.syncFolder(this.#folder))
  }
}

function isBatchable<Command> (request: WriteRequest<Command>): boolean {
  return request.kind === 'persist' && request.effect.snapshot === undefined
}

function padNumber (number: number): string {
  return String(number).padStart(16, '0')
}

function parseSegmentNumber (segmentName: string): number {
  return Number(SEGMENT_PATTERN.exec(segmentName)?.[1])
}

/**
 * Whether the folder contains log entries or a snapshot. A torn first record does not count, nor does a hard state
 * without entries. The start of a node does not call this: it decides from the recovered log.
 */
export async function isFolderInitialised (
  folder: string, fileSystem: LogFileSystem = new OsLogFileSystem()
): Promise<boolean> {
  const names = await withFileLogError('read_failed', folder, 0, async () => await fileSystem.list(folder))
  if (names.some(name => SNAPSHOT_PATTERN.test(name))) return true
  for (const name of names.filter(candidate => SEGMENT_PATTERN.test(candidate))) {
    const path = join(folder, name)
    const content = await withFileLogError('read_failed', path, 0, async () => await fileSystem.read(path))
    if (readRecords<RecordBody<unknown>>(content, path, true).bodies.some(body => body.entries.length > 0)) return true
  }
  return false
}
