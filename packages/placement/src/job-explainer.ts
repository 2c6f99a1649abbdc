/** Explains to callers why a job waits, which jobs block it, and when it is expected to start. */
import type { Failure, JobExplanation } from '@comfreygrade/core'
import type { JobRecord } from './job-record.js'
import type { OrganisationUsage } from './organisations.js'
import type { Reservation, StartForecaster } from './start-forecaster.js'

/** Maximum number of blocking jobs in an explanation. */
const MAX_REPORTED_BLOCKERS = 64

/** State that explanations are derived from. */
export interface ExplainerInput {
  readonly jobs: ReadonlyMap<string, JobRecord>
  /** Failures of refused and of stopped jobs, by job ID; both are explained as `refused`. */
  readonly refusals: ReadonlyMap<string, Failure>
  readonly usage: OrganisationUsage
  readonly reservationsByModel: ReadonlyMap<string, Reservation>
  readonly forecaster: StartForecaster
  readonly reclaimWithinMs: number
  readonly compareWaiting: (left: JobRecord, right: JobRecord) => number
  readonly estimatedEndMs: (job: JobRecord) => number
}

/** Creates explanations. Counting the queue position takes time linear in the number of jobs. */
export class JobExplainer {
  readonly #input: ExplainerInput

  constructor (input: ExplainerInput) {
    this.#input = input
  }

  /** Explains the state of a job at `nowMs`. */
  explain (jobId: string, nowMs: number): JobExplanation {
    const job = this.#input.jobs.get(jobId)
    const refusal = this.#input.refusals.get(jobId)
    if (refusal !== undefined && (job === undefined || job.isTerminating)) return explainAs(jobId, 'refused', refusal.detail)
    if (job === undefined) return explainAs(jobId, 'unknown', 'no waiting or running job has this ID')
    if (job.state === 'placed') return explainPlaced(job)
    return { ...this.#explainWaiting(job, nowMs), queuePosition: this.#queuePosition(job) }
  }

  #explainWaiting (job: JobRecord, nowMs: number): JobExplanation {
    const { organisationId, jobId } = job.spec
    if (job.state === 'claiming') {
      return explainWait(jobId, `its cells are claimed, ${job.pendingVictims.size} preempted jobs have yet to vacate them`,
        job.pendingVictims, this.#input.reclaimWithinMs)
    }
    const quota = this.#input.usage.quota(organisationId)
    const inUse = this.#input.usage.inUse(organisationId)
    if (inUse + job.shape.minAccelerators > quota) return this.#explainQuota(job, quota, inUse, nowMs)
    if (!job.shape.isPossible) return explainWait(jobId, 'the current inventory cannot hold a gang of this shape', [])
    return this.#explainCapacity(job, nowMs)
  }

  #explainQuota (job: JobRecord, quota: number, inUse: number, nowMs: number): JobExplanation {
    const { organisationId, jobId } = job.spec
    const own = [...this.#input.jobs.values()].filter(other =>
      other.heldAccelerators > 0 && other.spec.organisationId === organisationId)
    own.sort((left, right) => this.#input.estimatedEndMs(left) - this.#input.estimatedEndMs(right))
    let missing = inUse + job.shape.minAccelerators - quota
    const blockers: JobRecord[] = []
    for (const other of own) {
      if (missing <= 0) break
      blockers.push(other)
      missing -= other.heldAccelerators
    }
    const last = blockers.at(-1)
    const startInMs = last === undefined || missing > 0 ? undefined : this.#input.estimatedEndMs(last) - nowMs
    const reason = `organisation ${organisationId} uses ${inUse} of its quota of ${quota} accelerators, ` +
      `the job needs ${job.shape.minAccelerators}`
    return explainWait(jobId, reason, blockers, startInMs)
  }

  #explainCapacity (job: JobRecord, nowMs: number): JobExplanation {
    const { jobId, acceleratorModel } = job.spec
    const reservation = this.#input.reservationsByModel.get(acceleratorModel)
    if (reservation?.job === job) {
      return explainWait(jobId, 'the job is next in order and has a start-time reservation', reservation.blockers,
        reservation.startMs - nowMs)
    }
    const forecast = this.#input.forecaster.forecast(job.shape, nowMs, () => true)
    if (forecast === undefined) return explainWait(jobId, 'the available workers cannot hold a gang of this shape', [])
    const blockers = new Set(forecast.blockers)
    if (reservation !== undefined) blockers.add(reservation.job)
    const startMs = Math.max(forecast.startMs, reservation?.startMs ?? 0)
    const reason = forecast.blockers.size === 0
      ? 'the free cells are reserved, needed by guarantees or unusable for the job, or it was not tried yet'
      : `fewer than ${job.spec.tasks} suitable free cells with adjacency ${job.spec.adjacency}`
    return explainWait(jobId, reason, blockers, startMs - nowMs)
  }

  #queuePosition (job: JobRecord): number {
    let position = 1
    for (const other of this.#input.jobs.values()) {
      if (other !== job && other.state !== 'placed' && this.#input.compareWaiting(other, job) < 0) position += 1
    }
    return position
  }
}

function explainPlaced (job: JobRecord): JobExplanation {
  const { jobId } = job.spec
  if (!job.isBeingPreempted) return explainAs(jobId, 'placed', job.placement!.reason)
  const claimants = [...job.claimants].map(claimant => claimant.spec.jobId)
  return { ...explainAs(jobId, 'reclaiming', 'it runs on lent capacity that other jobs need'), blockedByJobIds: claimants }
}

function explainAs (jobId: string, state: JobExplanation['state'], reason: string): JobExplanation {
  return { jobId, state, reason, queuePosition: 0, blockedByJobIds: [] }
}

function explainWait (
  jobId: string, reason: string, blockers: Iterable<JobRecord>, startInMs?: number
): JobExplanation {
  const blockedByJobIds = [...blockers].slice(0, MAX_REPORTED_BLOCKERS).map(job => job.spec.jobId)
  const explanation: JobExplanation = { jobId, state: 'waiting', reason, queuePosition: 0, blockedByJobIds }
  if (startInMs === undefined) return explanation
  return { ...explanation, estimatedStartInMs: Math.max(0, Math.round(startInMs)) }
}
