/**
 * Log of one replica in a folder: append-only segments of checksummed records, a snapshot file and the disk ID.
 *
 * A record is one batch of writes. Its header holds, as big-endian 32-bit numbers, the length of the body, the CRC-32
 * of the body and the CRC-32 of those two, so that a damaged length is not taken for a torn end. The body is CBOR.
 */
import { randomUUID } from 'node:crypto'
import * as fs from 'node:fs/promises'
import { basename, dirname, join } from 'node:path'
import { crc32 } from 'node:zlib'
import {
  LogStorage, type HardState, type LogEntry, type RecoveredLog, type ReplicaEffect, type Snapshot
} from '@comfreygrade/consensus'
import { decode, encode } from 'cbor-x'

const headerBytes = 12
const checkedHeaderBytes = 8
const defaultSegmentMaxBytes = 16_777_216
const segmentPattern = /^segment-(\d+)\.log$/
const snapshotPattern = /^snapshot-(\d+)\.cbor$/
const temporarySuffix = '.tmp'
const diskIdName = 'disk-id'

/** What can go wrong with the folder. Every kind stops the node. */
export type FileLogErrorKind =
  | 'damaged_record'
  | 'damaged_snapshot'
  | 'damaged_disk_id'
  | 'missing_entries'
  | 'disk_full'
  | 'sync_failed'
  | 'write_failed'
  | 'read_failed'
  | 'closed'

/** Error with the file and the byte offset in it. */
export class FileLogError extends Error {
  readonly kind: FileLogErrorKind
  readonly path: string
  readonly offset: number

  constructor (kind: FileLogErrorKind, path: string, offset: number, cause?: unknown) {
    super(`${kind} in ${path} at byte ${offset}`, { cause })
    this.name = 'FileLogError'
    this.kind = kind
    this.path = path
    this.offset = offset
  }
}

/** An open file of the log. */
export abstract class LogFile {
  /** Writes all bytes at the offset. */
  abstract write (bytes: Uint8Array, offset: number): Promise<void>
  abstract truncate (lengthBytes: number): Promise<void>
  /** Makes content and length durable. */
  abstract sync (): Promise<void>
  abstract close (): Promise<void>
}

/** File port of the log; tests put a failing disk behind it. */
export abstract class LogFiles {
  /** Creates the folder if it is absent, durably. */
  abstract makeFolder (folder: string): Promise<void>
  /** Names in the folder; none where it does not exist. */
  abstract list (folder: string): Promise<string[]>
  abstract read (path: string): Promise<Uint8Array>
  /** Opens for writing; creates the file if it is absent. */
  abstract open (path: string): Promise<LogFile>
  abstract rename (from: string, to: string): Promise<void>
  abstract remove (path: string): Promise<void>
  /** Makes creations, renames and removals in the folder durable. */
  abstract syncFolder (folder: string): Promise<void>
}

class NodeLogFile extends LogFile {
  readonly #handle: fs.FileHandle

  constructor (handle: fs.FileHandle) {
    super()
    this.#handle = handle
  }

  override async write (bytes: Uint8Array, offset: number): Promise<void> {
    let written = 0
    while (written < bytes.byteLength) {
      const result = await this.#handle.write(bytes, written, bytes.byteLength - written, offset + written)
      if (result.bytesWritten === 0) throw new Error('the file system accepted no byte')
      written += result.bytesWritten
    }
  }

  override async truncate (lengthBytes: number): Promise<void> {
    await this.#handle.truncate(lengthBytes)
  }

  override async sync (): Promise<void> {
    await this.#handle.datasync()
  }

  override async close (): Promise<void> {
    await this.#handle.close()
  }
}

/** The file system of the machine. */
export class NodeLogFiles extends LogFiles {
  override async makeFolder (folder: string): Promise<void> {
    const firstCreated = await fs.mkdir(folder, { recursive: true })
    if (firstCreated !== undefined) await this.syncFolder(dirname(folder))
  }

  override async list (folder: string): Promise<string[]> {
    try {
      return await fs.readdir(folder)
    } catch (cause) {
      if (errorCode(cause) === 'ENOENT') return []
      throw cause
    }
  }

  override async read (path: string): Promise<Uint8Array> {
    return await fs.readFile(path)
  }

  override async open (path: string): Promise<LogFile> {
    const flags = fs.constants.O_RDWR | fs.constants.O_CREAT
    return new NodeLogFile(await fs.open(path, flags, 0o600))
  }

  override async rename (from: string, to: string): Promise<void> {
    await fs.rename(from, to)
  }

  override async remove (path: string): Promise<void> {
    await fs.rm(path, { force: true })
  }

  override async syncFolder (folder: string): Promise<void> {
    const handle = await fs.open(folder, fs.constants.O_RDONLY)
    try {
      await handle.sync()
    } finally {
      await handle.close()
    }
  }
}

function errorCode (cause: unknown): unknown {
  return cause instanceof Error && 'code' in cause ? cause.code : undefined
}

/** Runs an operation on a file and turns its failure into a typed error. */
async function guard<T> (
  kind: FileLogErrorKind, path: string, offset: number, operation: () => Promise<T>
): Promise<T> {
  try {
    return await operation()
  } catch (cause) {
    const isFull = ['ENOSPC', 'EDQUOT'].includes(String(errorCode(cause)))
    throw new FileLogError(isFull ? 'disk_full' : kind, path, offset, cause)
  }
}

/** Body of a record: one batch. */
interface RecordBody<Command> {
  readonly hardState?: HardState
  /** The log before this record is replaced by the snapshot at this index. */
  readonly resetToIndex?: number
  /** Each entry replaces everything from its index on. */
  readonly entries: ReadonlyArray<LogEntry<Command>>
}

function encodeRecord (value: unknown): Uint8Array {
  const body = encode(value)
  const record = Buffer.alloc(headerBytes + body.byteLength)
  record.writeUInt32BE(body.byteLength, 0)
  record.writeUInt32BE(crc32(body), 4)
  record.writeUInt32BE(crc32(record.subarray(0, checkedHeaderBytes)), checkedHeaderBytes)
  record.set(body, headerBytes)
  return record
}

/** Whether a record can be read at an offset; `torn` where its end is missing or wrong at the end of the file. */
type RecordCheck = { readonly kind: 'valid', readonly endOffset: number } | { readonly kind: 'torn' | 'damaged' }

function checkRecord (bytes: Buffer, offset: number): RecordCheck {
  if (bytes.byteLength - offset < headerBytes) return { kind: 'torn' }
  if (!isHeaderValid(bytes, offset)) return { kind: hasRecordAfter(bytes, offset) ? 'damaged' : 'torn' }
  const endOffset = offset + headerBytes + bytes.readUInt32BE(offset)
  if (endOffset > bytes.byteLength) return { kind: 'torn' }
  const isBodyValid = crc32(bytes.subarray(offset + headerBytes, endOffset)) === bytes.readUInt32BE(offset + 4)
  if (isBodyValid) return { kind: 'valid', endOffset }
  // A batch is written only after the one before is synced, so bytes behind a record prove that it was complete.
  return { kind: endOffset === bytes.byteLength ? 'torn' : 'damaged' }
}

function isHeaderValid (bytes: Buffer, offset: number): boolean {
  const checkOffset = offset + checkedHeaderBytes
  return crc32(bytes.subarray(offset, checkOffset)) === bytes.readUInt32BE(checkOffset)
}

function hasRecordAfter (bytes: Buffer, offset: number): boolean {
  for (let start = offset + 1; start + headerBytes <= bytes.byteLength; start++) {
    const fits = start + headerBytes + bytes.readUInt32BE(start) <= bytes.byteLength
    if (fits && isHeaderValid(bytes, start)) return true
  }
  return false
}

/** Records of a file and where the valid part ends. */
interface ReadRecords<T> {
  readonly bodies: T[]
  readonly validBytes: number
  readonly isTorn: boolean
}

function readRecords<T> (content: Uint8Array, path: string, isLastFile: boolean): ReadRecords<T> {
  const bytes = Buffer.from(content.buffer, content.byteOffset, content.byteLength)
  const bodies: T[] = []
  let offset = 0
  while (offset < bytes.byteLength) {
    const check = checkRecord(bytes, offset)
    if (check.kind === 'torn' && isLastFile) return { bodies, validBytes: offset, isTorn: true }
    if (check.kind !== 'valid') throw new FileLogError('damaged_record', path, offset)
    bodies.push(decode(bytes.subarray(offset + headerBytes, check.endOffset)))
    offset = check.endOffset
  }
  return { bodies, validBytes: offset, isTorn: false }
}

/** A segment of the log; it may be removed once a snapshot covers `maxIndex`. */
interface Segment {
  readonly number: number
  readonly path: string
  maxIndex: number
  sizeBytes: number
}

/** Rebuilds the log from the records of all segments. */
class Replay<Command> {
  hardState: HardState = { term: 0, votedFor: null }
  entries: Array<LogEntry<Command>> = []

  apply (body: RecordBody<Command>, segment: Segment): void {
    if (body.resetToIndex !== undefined) this.entries = []
    if (body.hardState !== undefined) this.hardState = body.hardState
    for (const entry of body.entries) this.#place(entry, segment)
  }

  #place (entry: LogEntry<Command>, segment: Segment): void {
    segment.maxIndex = Math.max(segment.maxIndex, entry.index)
    const kept = entry.index - (this.entries[0]?.index ?? entry.index)
    if (kept > this.entries.length) throw new FileLogError('missing_entries', segment.path, 0)
    this.entries.length = Math.max(0, kept)
    this.entries.push(entry)
  }

  /**
   * Entries that follow the snapshot; `undefined` where the log contradicts it or ends before it, as after a crash
   * between the two steps of an installation.
   */
  entriesAfter (snapshot: Snapshot): Array<LogEntry<Command>> | undefined {
    const last = this.entries.at(-1)
    if (last === undefined) return []
    const atSnapshot = this.entries.find(entry => entry.index === snapshot.lastIndex)
    const isContradicted = atSnapshot !== undefined && atSnapshot.term !== snapshot.lastTerm
    if (isContradicted || last.index < snapshot.lastIndex) return undefined
    return this.entries.filter(entry => entry.index > snapshot.lastIndex)
  }
}

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

async function writeSynced (files: LogFiles, path: string, content: Uint8Array): Promise<void> {
  const file = await guard('write_failed', path, 0, async () => await files.open(path))
  try {
    await guard('write_failed', path, 0, async () => await file.truncate(0))
    await guard('write_failed', path, 0, async () => await file.write(content, 0))
    await guard('sync_failed', path, 0, async () => await file.sync())
  } finally {
    await file.close()
  }
}

/**
 * Reads the disk ID of a data folder; writes a random one at the first start.
 *
 * @example
 * const id = { nodeId: 'salto-1', diskId: await readOrCreateDiskId('/var/lib/comfreygrade') }
 */
export async function readOrCreateDiskId (folder: string, files: LogFiles = new NodeLogFiles()): Promise<string> {
  const path = join(folder, diskIdName)
  await guard('write_failed', folder, 0, async () => await files.makeFolder(folder))
  const names = await guard('read_failed', folder, 0, async () => await files.list(folder))
  if (!names.includes(diskIdName)) return await createDiskId(folder, files)
  const content = await guard('read_failed', path, 0, async () => await files.read(path))
  const { bodies, isTorn } = readRecords<{ diskId: string }>(content, path, true)
  if (isTorn || bodies[0] === undefined) throw new FileLogError('damaged_disk_id', path, 0)
  return bodies[0].diskId
}

async function createDiskId (folder: string, files: LogFiles): Promise<string> {
  const path = join(folder, diskIdName)
  const diskId = randomUUID()
  await writeSynced(files, path + temporarySuffix, encodeRecord({ diskId }))
  await guard('write_failed', path, 0, async () => await files.rename(path + temporarySuffix, path))
  await guard('sync_failed', folder, 0, async () => await files.syncFolder(folder))
  return diskId
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
