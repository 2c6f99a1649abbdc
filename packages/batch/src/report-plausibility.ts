/** Tells reports of a worker from those that another writer sends under its ID, or with numbers that none can reach. */
import type { RunEnd } from './commands.js'
import type { WorkerReport } from './worker-messages.js'

/**
 * A worker counts at most one heartbeat and one end in a millisecond of its clock, which starts with it, and this many
 * more, since its clock may be slow.
 */
const COUNT_MARGIN = 10_000
/** Longest time by which the start of a worker may be ahead of the leader's wall clock: one of them is wrong. */
const MAX_START_AHEAD_MS = 86_400_000
/** Longest time by which a worker's clock may be ahead of what its earlier heartbeats let expect. */
const MAX_CLOCK_JUMP_MS = 300_000

/** What the leader knows when a report arrives. */
export interface ReportContext {
  readonly wallMs: number
  /** Latest report of the same incarnation, and the time since it arrived; undefined for the first one. */
  readonly latest: WorkerReport | undefined
  readonly elapsedMs: number
}

/**
 * Whether a report may come from the worker that it names. A higher sequence number, a later start or a clock ahead
 * would make all reports of the worker itself count as old ones from then on.
 *
 * @example
 * if (!isPlausible(report, { wallMs: clock.wallMs(), latest: undefined, elapsedMs: 0 })) ignore(report)
 */
export function isPlausible (report: WorkerReport, { wallMs, latest, elapsedMs }: ReportContext): boolean {
  if (!isPlausibleCount(report.sequence, report)) return false
  if (report.incarnation > wallMs + MAX_START_AHEAD_MS) return false
  if (latest === undefined) return true
  return report.service === latest.service && report.clockMs - latest.clockMs <= elapsedMs + MAX_CLOCK_JUMP_MS
}

/**
 * The ends of a report with plausible numbers. An end with too high a number, once recorded, would make all later ends
 * of the worker count as recorded already.
 */
export function plausibleEnds (report: WorkerReport): readonly RunEnd[] {
  return report.ends.filter(end => isPlausibleCount(end.sequence, report))
}

function isPlausibleCount (count: number, { clockMs }: WorkerReport): boolean {
  return count <= clockMs + COUNT_MARGIN
}
