/** File system port of the log, its adapter for the operating system, and their errors. */
import * as fs from 'node:fs/promises'
import { dirname } from 'node:path'

/** Suffix of files that are not complete yet. */
export const TEMPORARY_SUFFIX = '.tmp'

/** Kinds of storage errors; each of them stops the node, except `closed`. */
export type FileLogErrorKind =
  | 'damaged_record'
  | 'damaged_snapshot'
  | 'damaged_disk_id'
  /** A gap between the indexes of two entries, or between the snapshot and the first entry. */
  | 'missing_entries'
  | 'disk_full'
  | 'sync_failed'
  | 'write_failed'
  | 'read_failed'
  /** A value that the encoding does not know; a fault of the caller, not of the disk. */
  | 'not_encodable'
  /** A write after `close`, which is not a fault. */
  | 'closed'

/** Storage error, with the path of the file or folder, and the byte offset in the file or 0 if it is not known. */
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
  /** Makes the content and length of the file durable. */
  abstract sync (): Promise<void>
  abstract close (): Promise<void>
}

/** File system operations that the log needs; tests use an implementation with disk faults. */
export abstract class LogFileSystem {
  /**
   * Creates the folder, and missing folders above it, if it does not exist, and then syncs its parent. The names of
   * folders that were created above it are not synced.
   */
  abstract createFolder (folder: string): Promise<void>
  /** File names in the folder; empty if it does not exist. */
  abstract list (folder: string): Promise<string[]>
  abstract read (path: string): Promise<Uint8Array>
  /** Opens a file for writing; creates it if it does not exist. */
  abstract open (path: string): Promise<LogFile>
  abstract rename (from: string, to: string): Promise<void>
  abstract remove (path: string): Promise<void>
  /** Makes created, renamed and removed names in the folder durable. */
  abstract syncFolder (folder: string): Promise<void>
}

class OsLogFile extends LogFile {
  readonly #handle: fs.FileHandle

  constructor (handle: fs.FileHandle) {
    super()
    this.#handle = handle
  }

  override async write (bytes: Uint8Array, offset: number): Promise<void> {
    let written = 0
    while (written < bytes.byteLength) {
      const result = await this.#handle.write(bytes, written, bytes.byteLength - written, offset + written)
      if (result.bytesWritten === 0) throw new Error('write returned 0 bytes written')
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

/** File system of the operating system. */
export class OsLogFileSystem extends LogFileSystem {
  override async createFolder (folder: string): Promise<void> {
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
    return new OsLogFile(await fs.open(path, flags, 0o600))
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

/** Whether a file operation failed because the disk, or the quota on it, is full. */
export function isDiskFullError (cause: unknown): boolean {
  return ['ENOSPC', 'EDQUOT'].includes(String(errorCode(cause)))
}

/** Runs a file operation and wraps its error in a `FileLogError`; a full disk or quota always gives `disk_full`. */
export async function withFileLogError<T> (
  kind: FileLogErrorKind, path: string, offset: number, operation: () => Promise<T>
): Promise<T> {
  try {
    return await operation()
  } catch (cause) {
    throw new FileLogError(isDiskFullError(cause) ? 'disk_full' : kind, path, offset, cause)
  }
}

/** Writes a file and makes its content durable. */
export async function writeAndSync (fileSystem: LogFileSystem, path: string, content: Uint8Array): Promise<void> {
  const file = await withFileLogError('write_failed', path, 0, async () => await fileSystem.open(path))
  try {
    await withFileLogError('write_failed', path, 0, async () => await file.truncate(0))
    await withFileLogError('write_failed', path, 0, async () => await file.write(content, 0))
    await withFileLogError('sync_failed', path, 0, async () => await file.sync())
  } finally {
    await file.close()
  }
}
