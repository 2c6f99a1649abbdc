/** Log of one replica in a folder: append-only segments of records and a snapshot file. */
import { basename, join } from 'node:path'
import {
  LogStorage, type HardState, type LogEntry, type RecoveredLog, type ReplicaEffect, type Snapshot
} from '@comfreygrade/consensus'
import { FileLogError, guard, NodeLogFiles, temporarySuffix, writeSynced, type LogFile, type LogFiles } from './log-files.js'
import { encodeRecord, readRecords, type RecordBody } from './log-records.js'
import { Replay, type Segment } from './log-replay.js'

const defaultSegmentMaxBytes = 16_777_216
const segmentPattern = /^segment-(\d+)\.log$/
const snapshotPattern = /^snapshot-(\d+)\.cbor$/

type PersistEffect<Command> = Extract<ReplicaEffect<Command>, { kind: 'persist' }>

/** Work that waits for the disk. */
type Job<Command> = { readonly resolve: () => void, readonly reject: (cause: unknown) => void } & (
  | { readonly kind: 'persist', readonly effect: PersistEffect<Command> }
  | { readonly kind: 'adopt', readonly snapshot: Snapshot, readonly temporaryPath: string }
)

/** Settings of a file log. */
export interface FileLogOptions {
  /** A segment that has grown beyond this size is followed by a new one. */
  readonly segmentMaxBytes?: number
  readonly files?: LogFiles
}

/**
 * Log storage in a folder. One batch is in flight; what arrives meanwhile is joined into the next. After an error
 * nothing more is written or acknowledged.
 *
 * @example
 * const log = new FileLog<MyCommand>('/var/lib/comfreygrade')
 * const recovered = await log.recover()
 * await log.persist({ kind: 'persist', persistId: 1, entries })
 */
export class FileLog<Command> extends LogStorage<Command> {
  readonly #folder: string
  readonly #files: LogFiles
  readonly #segmentMaxBytes: number
  #hardState: HardState = { term: 0, votedFor: null }
  #segments: Segment[] = []
  #file: LogFile | null = null
  #snapshotIndex = 0
  #temporaryNumber = 0
  #queue: Array<Job<Command>> = []
  #drained: Promise<void> | null = null
  #failure: FileLogError | null = null

  constructor (folder: string, options: FileLogOptions = {}) {
    super()
    this.#folder = folder
    this.#files = options.files ?? new NodeLogFiles()
    this.#segmentMaxBytes = options.segmentMaxBytes ?? defaultSegmentMaxBytes
  }

  override async recover (): Promise<RecoveredLog<Command>> {
    await guard('write_failed', this.#folder, 0, async () => await this.#files.makeFolder(this.#folder))
    const names = await this.#list()
    for (const name of names.filter(name => name.endsWith(temporarySuffix))) await this.#remove(name)
    const snapshot = await this.#readNewestSnapshot(names)
    const replay = await this.#replaySegments(names)
    this.#hardState = replay.hardState
    const entries = snapshot === null ? replay.entries : replay.entriesAfter(snapshot)
    if (entries === undefined) await this.#startSegment({ resetToIndex: this.#snapshotIndex })
    else this.#checkStart(entries)
    await this.#dropCovered(names)
    return { hardState: replay.hardState, snapshot, entries: entries ?? [] }
  }

  #checkStart (entries: ReadonlyArray<LogEntry<Command>>): void {
    const first = entries[0]
    if (first === undefined || first.index === this.#snapshotIndex + 1) return
    throw new FileLogError('missing_entries', this.#folder, 0)
  }

  async #readNewestSnapshot (names: readonly string[]): Promise<Snapshot | null> {
    const name = names.filter(candidate => snapshotPattern.test(candidate)).sort().at(-1)
    if (name === undefined) return null
    const path = join(this.#folder, name)
    const content = await this.#read(path)
    const { bodies, isTorn } = readRecords<Snapshot>(content, path, true)
    const snapshot = bodies[0]
    if (isTorn || snapshot === undefined) throw new FileLogError('damaged_snapshot', path, 0)
    this.#snapshotIndex = snapshot.lastIndex
    return snapshot
  }

  async #replaySegments (names: readonly string[]): Promise<Replay<Command>> {
    const replay = new Replay<Command>()
    const segmentNames = names.filter(name => segmentPattern.test(name)).sort()
    for (const name of segmentNames) await this.#replaySegment(replay, name, name === segmentNames.at(-1))
    return replay
  }

  async #replaySegment (replay: Replay<Command>, name: string, isLast: boolean): Promise<void> {
    const path = join(this.#folder, name)
    const content = await this.#read(path)
    const { bodies, validBytes, isTorn } = readRecords<RecordBody<Command>>(content, path, isLast)
    const segment = { number: numberOf(name), path, maxIndex: 0, sizeBytes: validBytes }
    for (const body of bodies) replay.apply(body, segment)
    this.#segments.push(segment)
    if (!isLast) return
    this.#file = await guard('write_failed', path, 0, async () => await this.#files.open(path))
    if (isTorn) await this.#truncate(this.#file, segment)
  }

  async #truncate (file: LogFile, segment: Segment): Promise<void> {
    await guard('write_failed', segment.path, segment.sizeBytes, async () => await file.truncate(segment.sizeBytes))
    await guard('sync_failed', segment.path, segment.sizeBytes, async () => await file.sync())
  }

  override async persist (effect: PersistEffect<Command>): Promise<void> {
    await new Promise<void>((resolve, reject) => this.#enqueue({ kind: 'persist', effect, resolve, reject }))
  }

  /** The content is written beside the queue, so that commits continue meanwhile; only the switch is queued. */
  override async saveSnapshot (snapshot: Snapshot): Promise<void> {
    const temporaryPath = await this.#stopOnFailure(async () => await this.#writeTemporary(snapshot))
    await new Promise<void>((resolve, reject) => {
      this.#enqueue({ kind: 'adopt', snapshot, temporaryPath, resolve, reject })
    })
  }

  override async close (): Promise<void> {
    await this.#drained
    this.#failure ??= new FileLogError('closed', this.#folder, 0)
    await this.#file?.close()
    this.#file = null
  }

  #enqueue (job: Job<Command>): void {
    if (this.#failure !== null) return job.reject(this.#failure)
    this.#queue.push(job)
    this.#drained ??= this.#drain()
  }

  async #drain (): Promise<void> {
    while (this.#queue.length > 0) {
      const batch = this.#takeBatch()
      try {
        await this.#stopOnFailure(async () => await this.#run(batch))
        for (const job of batch) job.resolve()
      } catch (cause) {
        for (const job of [...batch, ...this.#queue.splice(0)]) job.reject(cause)
      }
    }
    this.#drained = null
  }

  async #stopOnFailure<T> (operation: () => Promise<T>): Promise<T> {
    if (this.#failure !== null) throw this.#failure
    try {
      return await operation()
    } catch (cause) {
      this.#failure = cause instanceof FileLogError ? cause : new FileLogError('write_failed', this.#folder, 0, cause)
      throw this.#failure
    }
  }

  /** The first job, with all that follow if they can share one record. */
  #takeBatch (): Array<Job<Command>> {
    const firstSingle = this.#queue.findIndex(job => !isJoinable(job))
    const count = firstSingle === -1 ? this.#queue.length : Math.max(1, firstSingle)
    return this.#queue.splice(0, count)
  }

  async #run (batch: ReadonlyArray<Job<Command>>): Promise<void> {
    const single = batch[0]
    if (single?.kind === 'adopt') return await this.#adopt(single.snapshot, single.temporaryPath)
    const effects = batch.filter(job => job.kind === 'persist').map(job => job.effect)
    this.#hardState = effects.findLast(effect => effect.hardState !== undefined)?.hardState ?? this.#hardState
    const installed = effects.find(effect => effect.snapshot !== undefined)
    if (installed?.snapshot !== undefined) await this.#install(installed.snapshot, installed.entries)
    else await this.#writeBatch(effects)
  }

  async #writeBatch (effects: ReadonlyArray<PersistEffect<Command>>): Promise<void> {
    const hardState = effects.some(effect => effect.hardState !== undefined) ? this.#hardState : undefined
    const entries = effects.flatMap(effect => effect.entries)
    const segment = this.#segments.at(-1)
    const isFull = segment === undefined || segment.sizeBytes >= this.#segmentMaxBytes
    if (isFull) await this.#startSegment({ entries })
    else await this.#appendRecord(hardState === undefined ? { entries } : { hardState, entries })
  }

  /** Replaces the log by a snapshot of the leader: first the snapshot, then a segment that ends the old entries. */
  async #install (snapshot: Snapshot, entries: ReadonlyArray<LogEntry<Command>>): Promise<void> {
    const temporaryPath = await this.#writeTemporary(snapshot)
    await this.#rename(snapshot, temporaryPath)
    await this.#startSegment({ resetToIndex: snapshot.lastIndex, entries })
    await this.#dropCovered(await this.#list())
  }

  async #adopt (snapshot: Snapshot, temporaryPath: string): Promise<void> {
    if (snapshot.lastIndex <= this.#snapshotIndex) return await this.#remove(basename(temporaryPath))
    await this.#rename(snapshot, temporaryPath)
    await this.#startSegment({})
    await this.#dropCovered(await this.#list())
  }

  async #writeTemporary (snapshot: Snapshot): Promise<string> {
    const path = join(this.#folder, `snapshot-${this.#temporaryNumber++}${temporarySuffix}`)
    await writeSynced(this.#files, path, encodeRecord(snapshot))
    return path
  }

  async #rename (snapshot: Snapshot, temporaryPath: string): Promise<void> {
    const path = join(this.#folder, `snapshot-${padded(snapshot.lastIndex)}.cbor`)
    await guard('write_failed', path, 0, async () => await this.#files.rename(temporaryPath, path))
    await this.#syncFolder()
    this.#snapshotIndex = snapshot.lastIndex
  }

  /** Starts a segment with the term and vote, so that older segments may be removed. */
  async #startSegment (body: Partial<RecordBody<Command>>): Promise<void> {
    const number = (this.#segments.at(-1)?.number ?? 0) + 1
    const path = join(this.#folder, `segment-${padded(number)}.log`)
    const previous = this.#file
    this.#file = await guard('write_failed', path, 0, async () => await this.#files.open(path))
    await previous?.close()
    this.#segments.push({ number, path, maxIndex: 0, sizeBytes: 0 })
    await this.#appendRecord({ hardState: this.#hardState, entries: [], ...body })
    await this.#syncFolder()
  }

  async #appendRecord (body: RecordBody<Command>): Promise<void> {
    const segment = this.#segments.at(-1)
    const file = this.#file
    if (segment === undefined || file === null) throw new FileLogError('closed', this.#folder, 0)
    const record = encodeRecord(body)
    const { path, sizeBytes } = segment
    await guard('write_failed', path, sizeBytes, async () => await file.write(record, sizeBytes))
    await guard('sync_failed', path, sizeBytes, async () => await file.sync())
    segment.sizeBytes += record.byteLength
    for (const entry of body.entries) segment.maxIndex = Math.max(segment.maxIndex, entry.index)
  }

  /** Removes what the newest snapshot covers: older snapshots, and segments from the oldest on. */
  async #dropCovered (names: readonly string[]): Promise<void> {
    const newest = `snapshot-${padded(this.#snapshotIndex)}.cbor`
    const oldSnapshots = names.filter(name => snapshotPattern.test(name) && name < newest)
    for (const name of oldSnapshots) await this.#remove(name)
    while (this.#segments.length > 1 && (this.#segments[0]?.maxIndex ?? 0) <= this.#snapshotIndex) {
      const covered = this.#segments.shift()
      if (covered !== undefined) await this.#remove(basename(covered.path))
    }
  }

  async #list (): Promise<string[]> {
    return await guard('read_failed', this.#folder, 0, async () => await this.#files.list(this.#folder))
  }

  async #read (path: string): Promise<Uint8Array> {
    return await guard('read_failed', path, 0, async () => await this.#files.read(path))
  }

  async #remove (name: string): Promise<void> {
    const path = join(this.#folder, name)
    await guard('write_failed', path, 0, async () => await this.#files.remove(path))
  }

  async #syncFolder (): Promise<void> {
    await guard('sync_failed', this.#folder, 0, async () => await this.#files.syncFolder(this.#folder))
  }
}

function isJoinable<Command> (job: Job<Command>): boolean {
  return job.kind === 'persist' && job.effect.snapshot === undefined
}

function padded (number: number): string {
  return String(number).padStart(16, '0')
}

function numberOf (segmentName: string): number {
  return Number(segmentPattern.exec(segmentName)?.[1])
}

/**
 * Whether the folder holds a log, be it the first voter set or entries received from a leader. An interrupted first
 * write does not count, nor does a term without entries.
 */
export async function isFolderInitialised (folder: string, files: LogFiles = new NodeLogFiles()): Promise<boolean> {
  const names = await guard('read_failed', folder, 0, async () => await files.list(folder))
  if (names.some(name => snapshotPattern.test(name))) return true
  for (const name of names.filter(candidate => segmentPattern.test(candidate))) {
    const path = join(folder, name)
    const content = await guard('read_failed', path, 0, async () => await files.read(path))
    if (readRecords<RecordBody<unknown>>(content, path, true).bodies.some(body => body.entries.length > 0)) return true
  }
  return false
}
