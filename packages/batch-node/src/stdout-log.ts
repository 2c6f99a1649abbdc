/** Structured logs on standard output. */
import { EventLog } from '@comfreygrade/core'

type LogFields = Readonly<Record<string, unknown>>

/** Lines of one message that are written in one second at most; the rest are counted. */
const MAX_LINES_PER_SECOND = 200
/** Bytes that may wait for the reader of standard output; more are dropped, so that logging never blocks or grows. */
const MAX_BACKLOG_BYTES = 1_048_576

interface LineCount {
  secondStartedMs: number
  written: number
  dropped: number
}

/** Writes one JSON object a line, bounded by message and by the backlog of the stream. */
export class StdoutLog extends EventLog {
  readonly #nodeId: string
  readonly #nowMs: () => number
  readonly #stream: NodeJS.WriteStream
  readonly #counts = new Map<string, LineCount>()

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
    const counted = dropped === 0 ? {} : { droppedLines: dropped }
    const line = { timeMs: Math.round(nowMs), level, nodeId: this.#nodeId, message, ...fields, ...counted }
    this.#stream.write(`${JSON.stringify(line)}\n`)
  }

  /** Lines of this message that were dropped before, or undefined where this one is dropped too. */
  #admit (message: string, nowMs: number): number | undefined {
    const count = this.#counts.get(message) ?? { secondStartedMs: nowMs, written: 0, dropped: 0 }
    this.#counts.set(message, count)
    if (nowMs - count.secondStartedMs >= 1_000) Object.assign(count, { secondStartedMs: nowMs, written: 0 })
    if (count.written >= MAX_LINES_PER_SECOND || this.#stream.writableLength > MAX_BACKLOG_BYTES) {
      count.dropped++
      return undefined
    }
    count.written++
    const { dropped } = count
    count.dropped = 0
    return dropped
  }
}
