/** Ports that every decision package may use; `node` has the adapters. */

/** Labels of a metric, such as the kind of a refusal. */
export type MetricTags = Readonly<Record<string, string>>

/** Sink for counters, gauges and timings. */
export abstract class Metrics {
  /** Adds `count` to a counter. */
  abstract increment (name: string, tags?: MetricTags, count?: number): void
  /** Sets a gauge to `value`. */
  abstract gauge (name: string, value: number, tags?: MetricTags): void
  /** Records a duration in milliseconds. */
  abstract timing (name: string, durationMs: number, tags?: MetricTags): void
}

/** Metrics that are dropped, for tests and benchmarks. */
export class NullMetrics extends Metrics {
  override increment (): void {}
  override gauge (): void {}
  override timing (): void {}
}

/** Counters kept in memory, for tests and for the status endpoint. */
export class CountingMetrics extends Metrics {
  readonly #counts = new Map<string, number>()

  override increment (name: string, tags: MetricTags = {}, count = 1): void {
    const key = metricKey(name, tags)
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + count)
  }

  override gauge (name: string, value: number, tags: MetricTags = {}): void {
    this.#counts.set(metricKey(name, tags), value)
  }

  override timing (): void {}

  /** Current values by name and tags, for example `refusal{kind=queue_full}`. */
  snapshot (): Record<string, number> {
    return Object.fromEntries(this.#counts)
  }
}

function metricKey (name: string, tags: MetricTags): string {
  const labels = Object.entries(tags).map(([key, value]) => `${key}=${value}`)
  return labels.length === 0 ? name : `${name}{${labels.join(',')}}`
}

/** Sink for log lines; only changes of state are logged. */
export abstract class EventLog {
  /** An expected change of state. */
  abstract info (message: string, fields?: Readonly<Record<string, unknown>>): void
  /** A change of state that an operator may have to act on. */
  abstract warn (message: string, fields?: Readonly<Record<string, unknown>>): void
}

/** Log lines that are dropped, for tests and benchmarks. */
export class NullEventLog extends EventLog {
  override info (): void {}
  override warn (): void {}
}
