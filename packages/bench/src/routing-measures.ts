/** Computes the measures of one simulation of the routing benchmark. */
import { errorTable, type ErrorKind } from '@comfreygrade/core'
import { longRequestBurst, loadSpike, loadSpikeEndMs, type PlannedArrival } from './routing-load.js'

/** Record of one request: times at the caller, outcomes that it received, and executions at servers. */
export interface RequestTrace {
  readonly arrival: PlannedArrival
  readonly sentAtMs: number
  readonly deadlineAtMs: number
  endedAtMs?: number
  outcome?: 'success' | 'server_error' | ErrorKind
  outcomeCount: number
  executionCount: number
}

/**
 * Measures by name, which is the row name in the table and ends in the unit, except for counts. `short` stands for
 * requests of class `charge`, `InBurst` for those sent after the burst of long requests began, and `Per1000` for a
 * number per 1,000 requests. `retriesPer1000`, `crossRegionPercent`, `truthViolations` and `routerMicrosPerRequest`
 * include the requests of the first second.
 */
export type Measures = Record<string, number>

/** Totals of a simulation that are not part of a trace. */
export interface RunCounts {
  readonly dispatches: number
  readonly crossRegionDispatches: number
  readonly retries: number
  readonly routerMs: number
  readonly reports: number
  readonly reportBytes: number
}

/** Waits have recovered once their 95th percentile stays within this factor of that before the load spike. */
const RECOVERED_WAIT_FACTOR = 2
const RECOVERY_WINDOW_MS = 250
/** Requests of the first second are not counted, as the routers start without learned limits and loads. */
const UNCOUNTED_START_MS = 1_000

/** Computes all measures of a simulation. */
export function computeMeasures (traces: readonly RequestTrace[], counts: RunCounts): Measures {
  const counted = traces.filter(trace => trace.sentAtMs >= UNCOUNTED_START_MS)
  const short = counted.filter(trace => trace.arrival.kind.requestClass === 'charge')
  const burst = short.filter(trace => trace.sentAtMs >= longRequestBurst.atMs)
  return {
    requests: counted.length,
    onTimePercent: percent(counted, isOnTime),
    ...onTimeByClass(counted),
    ...onTimeByOrganisation(counted),
    ...waitQuantiles(short.filter(isOnTime)),
    shortWaitInBurstP95Ms: quantile(burst.filter(isOnTime).map(waitMs), 0.95),
    shortWaitInBurstP99Ms: quantile(burst.filter(isOnTime).map(waitMs), 0.99),
    ...completionByClass(counted),
    normalAgainAfterMs: recoveryTimeMs(short),
    ...unsuccessfulByOutcome(counted),
    retriesPer1000: counts.retries / traces.length * 1000,
    wastedExecutionsPer1000: counted.reduce((sum, trace) => sum + wastedExecutions(trace), 0) / counted.length * 1000,
    crossRegionPercent: counts.crossRegionDispatches / Math.max(1, counts.dispatches) * 100,
    truthViolations: traces.filter(violatesOutcomeGuarantees).length,
    routerMicrosPerRequest: counts.routerMs * 1000 / traces.length,
    bytesPerLoadReport: counts.reportBytes / Math.max(1, counts.reports),
    loadReportsPerSecond: counts.reports / loadSpike.arrivalsEndMs * 1000
  }
}

/**
 * Returns the value below which this share of the values lies; NaN if there are no values.
 *
 * @example
 * quantile([1, 2, 3, 4], 0.5) // 3
 */
export function quantile (values: readonly number[], share: number): number {
  if (values.length === 0) return NaN
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]!
}

function isOnTime (trace: RequestTrace): boolean {
  return trace.outcome === 'success' && trace.endedAtMs! <= trace.deadlineAtMs
}

/**
 * Whether a request violates the guarantees on outcomes (`truthViolations`): it did not get exactly one outcome, it
 * must not be repeated and was executed more than once, or its error says that it was not run although it was.
 */
function violatesOutcomeGuarantees (trace: RequestTrace): boolean {
  if (trace.outcomeCount !== 1) return true
  if (trace.arrival.repeatability === 'non-repeatable' && trace.executionCount > 1) return true
  const { outcome } = trace
  if (outcome === undefined || outcome === 'success' || outcome === 'server_error') return false
  return errorTable[outcome].outcome === 'not_run' && trace.executionCount > 0
}

/** Executions that did not lead to a response in time. */
function wastedExecutions (trace: RequestTrace): number {
  return isOnTime(trace) ? trace.executionCount - 1 : trace.executionCount
}

/**
 * Time from sending to the response, without the drawn service time; what a slow server takes longer counts as wait.
 */
function waitMs (trace: RequestTrace): number {
  return trace.endedAtMs! - trace.sentAtMs - trace.arrival.serviceMs
}

function waitQuantiles (traces: readonly RequestTrace[]): Measures {
  const values = traces.map(waitMs)
  return {
    shortWaitP50Ms: quantile(values, 0.5),
    shortWaitP95Ms: quantile(values, 0.95),
    shortWaitP99Ms: quantile(values, 0.99)
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
    measures[`completion.${name}P50Ms`] = quantile(values, 0.5)
    measures[`completion.${name}P95Ms`] = quantile(values, 0.95)
  }
  return measures
}

function unsuccessfulByOutcome (traces: readonly RequestTrace[]): Measures {
  const groups = groupBy(traces.filter(trace => trace.outcome !== 'success'), trace => trace.outcome ?? 'none')
  const perThousand = (count: number) => count / traces.length * 1000
  return Object.fromEntries([...groups].sort().map(([name, group]) => [`ended.${name}Per1000`, perThousand(group.length)]))
}

/**
 * Returns the time after the load spike until the 95th percentile of the wait stays within its limit, by windows up
 * to the burst of long requests (`normalAgainAfterMs`). Before the spike only requests on time count, after it all with
 * an outcome, also refused ones; a window without requests counts as recovered.
 */
function recoveryTimeMs (short: readonly RequestTrace[]): number {
  const before = short.filter(trace => trace.sentAtMs < loadSpike.startMs && isOnTime(trace)).map(waitMs)
  const limitMs = quantile(before, 0.95) * RECOVERED_WAIT_FACTOR
  const after = short.filter(({ sentAtMs, endedAtMs }) =>
    sentAtMs >= loadSpikeEndMs && sentAtMs < longRequestBurst.atMs && endedAtMs !== undefined)
  const windows = groupBy(after, trace => String(Math.floor((trace.sentAtMs - loadSpikeEndMs) / RECOVERY_WINDOW_MS)))
  let lastSlowWindow = -1
  for (const [index, group] of windows) {
    if (quantile(group.map(waitMs), 0.95) > limitMs) lastSlowWindow = Math.max(lastSlowWindow, Number(index))
  }
  return (lastSlowWindow + 1) * RECOVERY_WINDOW_MS
}
