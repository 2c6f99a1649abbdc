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

/**
 * Whether a report is from the worker that it names: `foreign` where the worker cannot have sent it, and `contradicted`
 * where this report and the latest one cannot both be from it.
 */
export type ReportOrigin = 'worker' | 'foreign' | 'contradicted'

/** What the leader knows when a report arrives. */
export interface ReportContext {
  readonly wallMs: number
  /** Whether the configuration has the service, or a run of the incarnation belongs to it. */
  readonly isServiceKnown: boolean
  /** Latest report of the same incarnation, and the time since it arrived; undefined for the first one. */
  readonly latest: WorkerReport | undefined
  readonly elapsedMs: number
}

/**
 * Judges the origin of a report. A higher sequence number, a later start or a clock ahead would make all reports of the
 * worker itself count as old ones from then on.
 *
 * @example
 * if (originOf(report, { wallMs, isServiceKnown, latest: undefined, elapsedMs: 0 }) === 'foreign') ignore(report)
 */
export function originOf (report: WorkerReport, context: ReportContext): ReportOrigin {
  const { wallMs, isServiceKnown, latest, elapsedMs } = context
  if (!isServiceKnown || !isPlausibleCount(report.sequence, report)) return 'foreign'
  if (report.incarnation > wallMs + MAX_START_AHEAD_MS) return 'foreign'
  if (latest === undefined) return 'worker'
  const clockJumpMs = report.clockMs - latest.clockMs - elapsedMs
  if (report.service !== latest.service || clockJumpMs > MAX_CLOCK_JUMP_MS) return 'foreign'
  // Both increase with each heartbeat, and no heartbeat is delayed for so long that its clock is far behind.
  const isLater = report.sequence > latest.sequence
  const isClockLater = report.clockMs > latest.clockMs
  return (isLater && clockJumpMs < -MAX_CLOCK_JUMP_MS) || (isClockLater && report.sequence < latest.sequence)
    ? 'contradicted'
    : 'worker'
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
