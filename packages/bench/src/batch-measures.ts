/** Measures of a simulated load: value served, over windows and organisations, and core time thrown away. */
import { coresOf } from '@comfreygrade/batch'
import { sizeFactor, type JobKind, type SimulatedJob } from './batch-load.js'

/** Job counts of one kind. Jobs that are neither within their objective nor late were not served. */
export interface KindResult {
  readonly jobs: number
  readonly withinObjective: number
  readonly late: number
}

/** Why core time was thrown away. */
export type WasteCause = 'waiting' | 'stopped' | 'broken' | 'failed' | 'lapsed'

export const wasteCauses: readonly WasteCause[] = ['waiting', 'stopped', 'broken', 'failed', 'lapsed']

export interface BatchSimulationResult {
  readonly byKind: ReadonlyMap<string, KindResult>
  /** Share of the jobs that ended neither within their objective nor late. */
  readonly unservedJobsShare: number
  /** Value of the jobs that ended within their objective or late, as a share of the value of all jobs. */
  readonly servedValueShare: number
  /** The same over the jobs that arrived in the two worst windows. */
  readonly worstWindowsShare: number
  /** The same over the jobs of the organisation that was served worst. */
  readonly worstOrganisationShare: number
  /** Core time held by gang members that waited for others, and by runs whose work was lost. */
  readonly wastedCoreSeconds: ReadonlyMap<WasteCause, number>
}

/** A job that takes longer than this multiple of its objective counts as not served and has no value. */
const LATE_LIMIT_FACTOR = 3
const WINDOW_MS = 2_000
const WORST_WINDOWS = 2

type Outcome = 'withinObjective' | 'late' | 'not_served'

interface Share {
  total: number
  served: number
}

/** Collects the ends of jobs and runs during a simulation. */
export class BatchMeasures {
  readonly #endedAtMs = new Map<string, number>()
  readonly #wastedCoreMs = new Map<WasteCause, number>(wasteCauses.map(cause => [cause, 0]))

  /** `atMs` counts from the first arrival. */
  recordJobEnd (jobId: string, atMs: number): void {
    if (!this.#endedAtMs.has(jobId)) this.#endedAtMs.set(jobId, atMs)
  }

  recordWaste (cause: WasteCause, { step }: SimulatedJob, durationMs: number): void {
    this.#wastedCoreMs.set(cause, (this.#wastedCoreMs.get(cause) ?? 0) + coresOf(step.shape) * durationMs)
  }

  result (jobs: readonly SimulatedJob[], kinds: readonly JobKind[]): BatchSimulationResult {
    const byKind = new Map(kinds.map(kind => [kind.name, { jobs: 0, withinObjective: 0, late: 0 }]))
    const all: Share = { total: 0, served: 0 }
    const byWindow = new Map<number, Share>()
    const byOrganisation = new Map<number, Share>()
    let unservedCount = 0
    for (const job of jobs) {
      const outcome = this.#outcome(job)
      const counts = byKind.get(job.kind.name) as { jobs: number, withinObjective: number, late: number }
      counts.jobs++
      if (outcome === 'not_served') unservedCount++
      else counts[outcome]++
      const windowShare = shareIn(byWindow, Math.floor(job.arrivesAtMs / WINDOW_MS))
      const organisationShare = shareIn(byOrganisation, job.organisationIndex)
      for (const share of [all, windowShare, organisationShare]) addJob(share, job, outcome)
    }
    const windowShares = [...byWindow.values()].map(shareOf).sort((left, right) => left - right)
    const worst = windowShares.slice(0, WORST_WINDOWS)
    return {
      byKind,
      unservedJobsShare: unservedCount / Math.max(1, jobs.length),
      servedValueShare: shareOf(all),
      worstWindowsShare: worst.reduce((sum, share) => sum + share, 0) / Math.max(1, worst.length),
      worstOrganisationShare: Math.min(1, ...[...byOrganisation.values()].map(shareOf)),
      wastedCoreSeconds: new Map([...this.#wastedCoreMs].map(([cause, coreMs]) => [cause, coreMs / 1_000]))
    }
  }

  #outcome ({ jobId, kind, arrivesAtMs, runMs, taskFactors, stepCount }: SimulatedJob): Outcome {
    const tookMs = (this.#endedAtMs.get(jobId) ?? Infinity) - arrivesAtMs
    const objectiveMs = runMs * stepCount * Math.max(...taskFactors) * kind.slackFactor + kind.targetLatencyMs
    if (tookMs <= objectiveMs) return 'withinObjective'
    return tookMs <= objectiveMs * LATE_LIMIT_FACTOR ? 'late' : 'not_served'
  }
}

function shareIn (shares: Map<number, Share>, key: number): Share {
  const share = shares.get(key) ?? { total: 0, served: 0 }
  shares.set(key, share)
  return share
}

function addJob (share: Share, job: SimulatedJob, outcome: Outcome): void {
  const { kind } = job
  const factor = sizeFactor(job)
  share.total += kind.value * factor
  if (outcome === 'withinObjective') share.served += kind.value * factor
  if (outcome === 'late') share.served += kind.lateValue * factor
}

function shareOf ({ total, served }: Share): number {
  return total === 0 ? 1 : served / total
}
