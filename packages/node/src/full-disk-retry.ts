/** File system of the log that waits for free space while the disk is full, instead of failing. */
import { pause } from '@comfreygrade/timers'
import { LogFile, LogFileSystem, isDiskFullError } from './log-files.js'

/** Options of {@link FullDiskRetry}. */
export interface FullDiskRetryOptions {
  readonly retryIntervalMs: number
  /** Called at each attempt that finds the disk full. */
  readonly onDiskFull: (path: string) => void
  /** Called when an operation succeeds again. */
  readonly onDiskSpace: (path: string) => void
}

/** Repeats an operation while the disk is full. Only operations may be repeated that are idempotent. */
class Retry {
  readonly #options: FullDiskRetryOptions

  constructor (options: FullDiskRetryOptions) {
    this.#options = options
  }

  async run<T> (path: string, operation: () => Promise<T>): Promise<T> {
    for (let attempt = 0; ; attempt++) {
      try {
        const result = await operation()
        if (attempt > 0) this.#options.onDiskSpace(path)
        return result
      } catch (cause) {
        if (!isDiskFullError(cause)) throw cause
        this.#options.onDiskFull(path)
        await pause(this.#options.retryIntervalMs)
      }
    }
  }
}

/**
 * Wraps a file system. A write that finds the disk full is repeated at the same offset until it succeeds, so nothing is
 * acknowledged meanwhile and the process can go on. A failed sync is passed on: the operating system may have dropped
 * the data, so repeating it proves nothing.
 *
 * @example
 * const fileSystem = new FullDiskRetry(new OsLogFileSystem(), { retryIntervalMs: 500, onDiskFull, onDiskSpace })
 */
export class FullDiskRetry extends LogFileSystem {
  readonly #inner: LogFileSystem
  readonly #retry: Retry

  constructor (inner: LogFileSystem, options: FullDiskRetryOptions) {
    super()
    this.#inner = inner
    this.#retry = new Retry(options)
  }

  override async createFolder (folder: string): Promise<void> {
    await this.#retry.run(folder, async () => { await this.#inner.createFolder(folder) })
  }

  override async list (folder: string): Promise<string[]> {
    return await this.#inner.list(folder)
  }

  override async read (path: string): Promise<Uint8Array> {
    return await this.#inner.read(path)
  }

  override async open (path: string): Promise<LogFile> {
    const file = await this.#retry.run(path, async () => await this.#inner.open(path))
    return new RetryingLogFile(file, path, this.#retry)
  }

  override async rename (from: string, to: string): Promise<void> {
    await this.#retry.run(to, async () => { await this.#inner.rename(from, to) })
  }

  override async remove (path: string): Promise<void> {
    await this.#retry.run(path, async () => { await this.#inner.remove(path) })
  }

  override async syncFolder (folder: string): Promise<void> {
    await this.#inner.syncFolder(folder)
  }
}

class RetryingLogFile extends LogFile {
  readonly #inner: LogFile
  readonly #path: string
  readonly #retry: Retry

  constructor (inner: LogFile, path: string, retry: Retry) {
    super()
    this.#inner = inner
    this.#path = path
    this.#retry = retry
  }

  override async write (bytes: Uint8Array, offset: number): Promise<void> {
    await this.#retry.run(this.#path, async () => { await this.#inner.write(bytes, offset) })
  }

  override async truncate (lengthBytes: number): Promise<void> {
    await this.#retry.run(this.#path, async () => { await this.#inner.truncate(lengthBytes) })
  }

  override async sync (): Promise<void> {
    await this.#inner.sync()
  }

  override async close (): Promise<void> {
    await this.#inner.close()
  }
}
