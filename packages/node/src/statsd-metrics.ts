import { StatsD } from 'hot-shots'
import { CountingMetrics, Metrics, type MetricTags } from '@comfreygrade/core'

/** Where metrics are sent. */
export interface MetricsTarget {
  readonly host: string
  readonly port: number
  readonly prefix: string
}

/**
 * Sends metrics by UDP to a StatsD server and keeps the counters for `GET /v1/status`.
 *
 * Without a target the counters are only kept.
 */
export class StatsdMetrics extends Metrics {
  readonly #counters = new CountingMetrics()
  readonly #client: StatsD | undefined

  constructor (target: MetricsTarget | undefined, nodeId: string) {
    super()
    if (target === undefined) return
    this.#client = new StatsD({
      host: target.host,
      port: target.port,
      prefix: `${target.prefix}.`,
      globalTags: { node: nodeId },
      // A lost metric must not end the process.
      errorHandler: () => { this.#counters.increment('metrics.send_failed') }
    })
  }

  override increment (name: string, tags: MetricTags = {}, count = 1): void {
    this.#counters.increment(name, tags, count)
    this.#client?.increment(name, count, { ...tags })
  }

  override gauge (name: string, value: number, tags: MetricTags = {}): void {
    this.#counters.gauge(name, value, tags)
    this.#client?.gauge(name, value, { ...tags })
  }

  override timing (name: string, durationMs: number, tags: MetricTags = {}): void {
    this.#client?.timing(name, durationMs, { ...tags })
  }

  /** Counters and gauges since the start of the process. */
  snapshot (): Record<string, number> {
    return this.#counters.snapshot()
  }

  /** Sends what is buffered and closes the socket. */
  async close (): Promise<void> {
    const client = this.#client
    if (client === undefined) return
    await new Promise<void>(resolve => { client.close(() => { resolve() }) })
  }
}
