import { StatsD } from 'hot-shots'
import { InMemoryMetrics, Metrics, type MetricTags } from '@comfreygrade/core'

/** StatsD server that metrics are sent to. */
export interface MetricsTarget {
  readonly host: string
  readonly port: number
  readonly prefix: string
}

/**
 * Sends metrics to a StatsD server over UDP and keeps the counters and gauges for `GET /v1/status`.
 *
 * Without a target nothing is sent.
 */
export class StatsdMetrics extends Metrics {
  readonly #counters = new InMemoryMetrics()
  readonly #client: StatsD | undefined

  constructor (target: MetricsTarget | undefined, nodeId: string) {
    super()
    if (target === undefined) return
    this.#client = new StatsD({
      host: target.host,
      port: target.port,
      prefix: `${target.prefix}.`,
      globalTags: { node: nodeId },
      // Without a handler an error of the socket would end the process.
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

  /** Flushes buffered metrics and closes the socket. */
  async close (): Promise<void> {
    const client = this.#client
    if (client === undefined) return
    await new Promise<void>(resolve => { client.close(() => { resolve() }) })
  }
}
