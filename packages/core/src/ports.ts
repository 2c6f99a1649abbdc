/** Ports for metrics and logging, shared by the packages that contain no I/O. Adapters are in node and batch-node. */

/** Tags of a metric, for example the error kind of refused requests. */
export type MetricTags = Readonly<Record<string, string>>

/** Port for counters, gauges and timings. */
export abstract class Metrics {
  /** Adds `count` to a counter. */
  abstract increment (name: string, tags?: MetricTags, count?: number): void
  /** Sets a gauge to `value`. */
  abstract gauge (name: string, value: number, tags?: MetricTags): void
  /** Records a duration in milliseconds. */
  abstract timing (name: string, durationMs: number, tags?: MetricTags): void
}

/** Discards all metrics, for tests and benchmarks. */
export class NullMetrics extends Metrics {
  override increment (): void {}
  override gauge (): void {}
  override timing (): void {}
}

/** Keeps counters and gauges in memory, for tests and for the status endpoint; ignores timings. */
export class InMemoryMetrics extends Metrics {
  readonly #values = new Map<string, number>()

  override increment (name: string, tags: MetricTags = {}, count = 1): void {
    const key = metricKey(name, tags)
    this.#values.set(key, (this.#values.get(key) ?? 0) + count)
  }

  override gauge (name: string, value: number, tags: MetricTags = {}): void {
    this.#values.set(metricKey(name, tags), value)
  }

  override timing (): void {}

  /** Returns the current values by name and tags, with keys such as `refusal{kind=queue_full}`. */
  snapshot (): Record<string, number> {
    return Object.fromEntries(this.#values)
  }
}

function metricKey (name: string, tags: MetricTags): string {
  const pairs = Object.entries(tags).map(([key, value]) => `${key}=${value}`)
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`
}

/** Port for log lines of the process; unrelated to the replicated log. Only changes of state are logged. */
export abstract class EventLog {
  /** Logs an expected change of state. */
  abstract info (message: string, fields?: Readonly<Record<string, unknown>>): void
  /** Logs a change of state that may need action by an operator. */
  abstract warn (message: string, fields?: Readonly<Record<string, unknown>>): void
}

/** Discards all log lines, for tests and benchmarks. */
export class NullEventLog extends EventLog {
  override info (): void {}
  override warn (): void {}
}

/** Start of the messages about errors after which a component goes on with its other parts. */
export const UNEXPECTED_ERROR = 'unexpected error'

/**
 * Discards all log lines but those about unexpected errors, for which it throws; for tests and benchmarks, which must
 * not miss an error that is only logged.
 */
export class StrictEventLog extends EventLog {
  override info (): void {}

  override warn (message: string, fields: Readonly<Record<string, unknown>> = {}): void {
    if (message.startsWith(UNEXPECTED_ERROR)) throw new Error(`${message}: ${JSON.stringify(fields)}`)
  }
}
