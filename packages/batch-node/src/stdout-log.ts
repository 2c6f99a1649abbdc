/** Structured log on standard output. */
import { EventLog } from '@comfreygrade/core'

type LogFields = Readonly<Record<string, unknown>>

/** Limit for lines with the same message; further ones are dropped and counted. */
const MAX_LINES_PER_MESSAGE_PER_SECOND = 200
/**
 * Limit for buffered output. Lines beyond it are dropped and counted, so that logging neither blocks nor uses unlimited
 * memory.
 */
const MAX_BACKLOG_BYTES = 1_048_576

interface RateWindow {
  startMs: number
  written: number
  dropped: number
}

/** Writes one JSON object per line. Limits the rate of each message and the backlog of the stream. */
export class StdoutLog extends EventLog {
  readonly #nodeId: string
  readonly #nowMs: () => number
  readonly #stream: NodeJS.WriteStream
  readonly #windows = new Map<string, RateWindow>()

  constructor (nodeId: string, nowMs: () => number, stream: NodeJS.WriteStream = process.stdout) {
    super()
    this.#nodeId = nodeId
    this.#nowMs = nowMs
    this.#stream = stream
  }

  override info (message: string, fields: LogFields = {}): void {
    this.#write('info', message, fields)
  }

  override warn (message: string, fields: LogFields = {}): void {
    this.#write('warn', message, fields)
  }

  #write (level: 'info' | 'warn', message: string, fields: LogFields): void {
    const nowMs = this.#nowMs()
    const dropped = this.#admit(message, nowMs)
    if (dropped === undefined) return
    const droppedField = dropped === 0 ? {} : { droppedLines: dropped }
    const line = { timeMs: Math.round(nowMs), level, nodeId: this.#nodeId, message, ...fields, ...droppedField }
    this.#stream.write(`${JSON.stringify(line)}\n`)
  }

  /**
   * Applies the limits to a line. Returns the number of lines with this message that were dropped since the last one
   * written, or undefined if this line is dropped too.
   */
  #admit (message: string, nowMs: number): number | undefined {
    const window = this.#windows.get(message) ?? { startMs: nowMs, written: 0, dropped: 0 }
    this.#windows.set(message, window)
    if (nowMs - window.startMs >= 1_000) Object.assign(window, { startMs: nowMs, written: 0 })
    if (window.written >= MAX_LINES_PER_MESSAGE_PER_SECOND || this.#stream.writableLength > MAX_BACKLOG_BYTES) {
      window.dropped++
      return undefined
    }
    window.written++
    const { dropped } = window
    window.dropped = 0
    return dropped
  }
}
