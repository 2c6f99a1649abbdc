/** Trace of one seed of the protocol simulation: what the simulation does, and the log of the leaders. */
import { EventLog, StrictEventLog, type Clock } from '@comfreygrade/core'

type Fields = Readonly<Record<string, unknown>>

/** Receives the events of a simulation, none of which it keeps. */
export class ProtocolTrace {
  /** Records one event; a message that is built for it costs time in each seed, so fields are given apart. */
  add (_message: string, _fields?: Fields): void {}

  /** Log of the control node with this number. */
  logOf (_nodeIndex: number): EventLog {
    return new StrictEventLog()
  }
}

/**
 * Keeps the events as lines with the time since the start.
 *
 * @example
 * const trace = new RecordedTrace(clock)
 * trace.add('leave', { workerId: 'w1' })
 * trace.lines // ['0.000 leave {"workerId":"w1"}']
 */
export class RecordedTrace extends ProtocolTrace {
  readonly lines: string[] = []
  readonly #clock: Clock
  readonly #startMs: number

  constructor (clock: Clock) {
    super()
    this.#clock = clock
    this.#startMs = clock.monotonicMs()
  }

  override add (message: string, fields: Fields = {}): void {
    const elapsedS = (this.#clock.monotonicMs() - this.#startMs) / 1_000
    this.lines.push(`${elapsedS.toFixed(3)} ${message} ${JSON.stringify(fields)}`)
  }

  override logOf (nodeIndex: number): EventLog {
    return new TracedLog(this, `n${nodeIndex}`)
  }
}

class TracedLog extends EventLog {
  readonly #strict = new StrictEventLog()
  readonly #trace: ProtocolTrace
  readonly #nodeId: string

  constructor (trace: ProtocolTrace, nodeId: string) {
    super()
    this.#trace = trace
    this.#nodeId = nodeId
  }

  override info (message: string, fields: Fields = {}): void {
    this.#trace.add(`${this.#nodeId}: ${message}`, fields)
  }

  override warn (message: string, fields: Fields = {}): void {
    this.#trace.add(`${this.#nodeId}: ${message}`, fields)
    this.#strict.warn(message, fields)
  }
}
