/** Counters, gauges and histograms of durations in milliseconds, rendered as text. */
import { build, type Histogram } from 'hdr-histogram-js'
import { Metrics, type MetricTags } from '@comfreygrade/core'

/** Longest duration that a histogram records; longer ones count as this one. */
const MAX_DURATION_MS = 60_000
const HISTOGRAM_OPTIONS = {
  highestTrackableValue: MAX_DURATION_MS,
  numberOfSignificantValueDigits: 2,
  useWebAssembly: false
} as const
const PERCENTILES = [50, 90, 99, 99.9]

/**
 * Keeps metrics in memory and renders them as samples of the Prometheus text format; each histogram is rendered as its
 * quantiles and a count.
 */
export class TextMetrics extends Metrics {
  readonly #values = new Map<string, number>()
  readonly #histograms = new Map<string, Histogram>()

  override increment (name: string, tags: MetricTags = {}, count = 1): void {
    const key = metricKey(name, tags)
    this.#values.set(key, (this.#values.get(key) ?? 0) + count)
  }

  override gauge (name: string, value: number, tags: MetricTags = {}): void {
    this.#values.set(metricKey(name, tags), value)
  }

  override timing (name: string, durationMs: number, tags: MetricTags = {}): void {
    const key = metricKey(name, tags)
    const existing = this.#histograms.get(key)
    const histogram = existing ?? build(HISTOGRAM_OPTIONS)
    if (existing === undefined) this.#histograms.set(key, histogram)
    histogram.recordValue(Math.min(MAX_DURATION_MS, Math.max(0, Math.round(durationMs))))
  }

  /** Renders all metrics, one sample per line. */
  render (): string {
    const lines = [...this.#values].map(([key, value]) => `${key} ${value}`)
    for (const [key, histogram] of this.#histograms) lines.push(...renderHistogram(key, histogram))
    return `${lines.join('\n')}\n`
  }
}

function renderHistogram (key: string, histogram: Histogram): string[] {
  const quantiles = PERCENTILES.map(percentile => {
    const label = `quantile="${percentile / 100}"`
    const labelledKey = key.endsWith('}') ? `${key.slice(0, -1)},${label}}` : `${key}{${label}}`
    return `${labelledKey} ${histogram.getValueAtPercentile(percentile)}`
  })
  return [...quantiles, `${withSuffix(key, '_count')} ${histogram.totalCount}`]
}

function withSuffix (key: string, suffix: string): string {
  const brace = key.indexOf('{')
  return brace < 0 ? key + suffix : key.slice(0, brace) + suffix + key.slice(brace)
}

function metricKey (name: string, tags: MetricTags): string {
  const labels = Object.entries(tags).map(([key, value]) => `${key}="${value}"`)
  const base = `comfreygrade_${name.replaceAll('.', '_')}`
  return labels.length === 0 ? base : `${base}{${labels.join(',')}}`
}
