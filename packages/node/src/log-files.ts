/** File port of the log, the file system behind it, and the errors of both. */
import * as fs from 'node:fs/promises'
import { dirname } from 'node:path'

/** Ends the names of files that are not complete yet. */
export const temporarySuffix = '.tmp'

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
export async function guard<T> (
  kind: FileLogErrorKind, path: string, offset: number, operation: () => Promise<T>
): Promise<T> {
  try {
    return await operation()
  } catch (cause) {
    const isFull = ['ENOSPC', 'EDQUOT'].includes(String(errorCode(cause)))
    throw new FileLogError(isFull ? 'disk_full' : kind, path, offset, cause)
  }
}

/** Writes a whole file and makes its content durable. */
export async function writeSynced (files: LogFiles, path: string, content: Uint8Array): Promise<void> {
  const file = await guard('write_failed', path, 0, async () => await files.open(path))
  try {
    await guard('write_failed', path, 0, async () => await file.truncate(0))
    await guard('write_failed', path, 0, async () => await file.write(content, 0))
    await guard('sync_failed', path, 0, async () => await file.sync())
  } finally {
    await file.close()
  }
}
