/** Measures of one run of the routing benchmark. */
import { errorTable, type ErrorKind } from '@comfreygrade/core'
import { longBurst, swing, swingOverMs, type PlannedArrival } from './routing-load.js'

/** One request as its caller sees it. */
export interface RequestTrace {
  readonly arrival: PlannedArrival
  readonly sentAtMs: number
  readonly deadlineAtMs: number
  endedAtMs?: number
  outcome?: 'success' | 'server_error' | ErrorKind
  outcomes: number
  executions: number
}

/** Flat list of measures; the name ends in the unit. */
export type Measures = Record<string, number>

/** Counts that are not part of a trace. */
export interface RunCounts {
  readonly dispatches: number
  readonly crossRegionDispatches: number
  readonly retries: number
  readonly routerMs: number
  readonly reports: number
  readonly reportBytes: number
}

/** Waits are normal again once the 95th percentile stays within this many times that before the swing. */
const NORMAL_FACTOR = 2
const WINDOW_MS = 250
/** The run starts with nothing learned; its first second is left out. */
const WARM_UP_MS = 1_000

/** Computes all measures of a run. */
export function measure (traces: readonly RequestTrace[], counts: RunCounts): Measures {
  const counted = traces.filter(trace => trace.sentAtMs >= WARM_UP_MS)
  const short = counted.filter(trace => trace.arrival.kind.requestClass === 'charge')
  const burst = short.filter(trace => trace.sentAtMs >= longBurst.atMs)
  return {
    requests: counted.length,
    onTimePercent: percent(counted, isOnTime),
    ...onTimeByClass(counted),
    ...onTimeByOrganisation(counted),
    ...waits(short.filter(isOnTime)),
    shortWaitInBurstP95Ms: percentile(burst.filter(isOnTime).map(waitMs), 0.95),
    shortWaitInBurstP99Ms: percentile(burst.filter(isOnTime).map(waitMs), 0.99),
    ...completionByClass(counted),
    normalAgainAfterMs: normalAgainAfterMs(short),
    ...refusals(counted),
    retriesPer1000: counts.retries / traces.length * 1000,
    wastedExecutionsPer1000: counted.reduce((sum, trace) => sum + wasted(trace), 0) / counted.length * 1000,
    crossRegionPercent: counts.crossRegionDispatches / Math.max(1, counts.dispatches) * 100,
    truthViolations: traces.filter(isViolation).length,
    routerMicrosPerRequest: counts.routerMs * 1000 / traces.length,
    bytesPerLoadReport: counts.reportBytes / Math.max(1, counts.reports),
    loadReportsPerSecond: counts.reports / swing.endMs * 1000
  }
}

/**
 * Value below which `share` of the values lie; NaN where there are none.
 *
 * @example
 * percentile([1, 2, 3, 4], 0.5) // 3
 */
export function percentile (values: readonly number[], share: number): number {
  if (values.length === 0) return NaN
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]!
}

function isOnTime (trace: RequestTrace): boolean {
  return trace.outcome === 'success' && trace.endedAtMs! <= trace.deadlineAtMs
}

/** A contradiction between the answer and what the servers executed. */
function isViolation (trace: RequestTrace): boolean {
  if (trace.outcomes !== 1) return true
  if (trace.arrival.repeatability === 'non-repeatable' && trace.executions > 1) return true
  const { outcome } = trace
  if (outcome === undefined || outcome === 'success' || outcome === 'server_error') return false
  return errorTable[outcome].outcome === 'not_run' && trace.executions > 0
}

function wasted (trace: RequestTrace): number {
  return isOnTime(trace) ? trace.executions - 1 : trace.executions
}

/** Everything between sending and the answer that is not service. */
function waitMs (trace: RequestTrace): number {
  return trace.endedAtMs! - trace.sentAtMs - trace.arrival.serviceMs
}

function waits (traces: readonly RequestTrace[]): Measures {
  const values = traces.map(waitMs)
  return {
    shortWaitP50Ms: percentile(values, 0.5),
    shortWaitP95Ms: percentile(values, 0.95),
    shortWaitP99Ms: percentile(values, 0.99)
  }
}

function percent (traces: readonly RequestTrace[], isCounted: (trace: RequestTrace) => boolean): number {
  return traces.filter(isCounted).length / Math.max(1, traces.length) * 100
}

function groupBy (traces: readonly RequestTrace[], key: (trace: RequestTrace) => string): Map<string, RequestTrace[]> {
  const groups = new Map<string, RequestTrace[]>()
  for (const trace of traces) {
    const group = groups.get(key(trace))
    if (group === undefined) groups.set(key(trace), [trace])
    else group.push(trace)
  }
  return groups
}

function onTimeByClass (traces: readonly RequestTrace[]): Measures {
  const groups = groupBy(traces, trace => trace.arrival.kind.requestClass)
  return Object.fromEntries([...groups].map(([name, group]) => [`onTime.${name}Percent`, percent(group, isOnTime)]))
}

function onTimeByOrganisation (traces: readonly RequestTrace[]): Measures {
  const groups = [...groupBy(traces, trace => trace.arrival.organisationId)].sort()
  return Object.fromEntries(groups.map(([name, group]) => [`onTime.${name}Percent`, percent(group, isOnTime)]))
}

function completionByClass (traces: readonly RequestTrace[]): Measures {
  const groups = groupBy(traces.filter(isOnTime), trace => trace.arrival.kind.requestClass)
  const measures: Measures = {}
  for (const [name, group] of groups) {
    const values = group.map(trace => trace.endedAtMs! - trace.sentAtMs)
    measures[`completion.${name}P50Ms`] = percentile(values, 0.5)
    measures[`completion.${name}P95Ms`] = percentile(values, 0.95)
  }
  return measures
}

function refusals (traces: readonly RequestTrace[]): Measures {
  const groups = groupBy(traces.filter(trace => trace.outcome !== 'success'), trace => trace.outcome ?? 'none')
  const perThousand = (count: number) => count / traces.length * 1000
  return Object.fromEntries([...groups].sort().map(([name, group]) => [`ended.${name}Per1000`, perThousand(group.length)]))
}

function normalAgainAfterMs (short: readonly RequestTrace[]): number {
  const before = short.filter(trace => trace.sentAtMs < swing.startMs && isOnTime(trace)).map(waitMs)
  const limitMs = percentile(before, 0.95) * NORMAL_FACTOR
  const after = short.filter(({ sentAtMs, endedAtMs }) =>
    sentAtMs >= swingOverMs && sentAtMs < longBurst.atMs && endedAtMs !== undefined)
  const windows = groupBy(after, trace => String(Math.floor((trace.sentAtMs - swingOverMs) / WINDOW_MS)))
  let lastSlowWindow = -1
  for (const [index, group] of windows) {
    if (percentile(group.map(waitMs), 0.95) > limitMs) lastSlowWindow = Math.max(lastSlowWindow, Number(index))
  }
  return (lastSlowWindow + 1) * WINDOW_MS
}
