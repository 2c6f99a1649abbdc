/** Explanations for callers: why a job waits, on whom, and for how long. */
import type { Failure, JobExplanation } from '@comfreygrade/core'
import type { JobRecord } from './jobs.js'
import type { OrganisationShares } from './organisations.js'
import type { Reservation, StartForecaster } from './reservations.js'

/** Blocking jobs that an explanation names at most. */
const MAX_BLOCKERS_NAMED = 64

/** What an explanation is written from. */
export interface ExplainedState {
  readonly jobs: ReadonlyMap<string, JobRecord>
  readonly refused: ReadonlyMap<string, Failure>
  readonly shares: OrganisationShares
  readonly reservations: ReadonlyMap<string, Reservation>
  readonly forecaster: StartForecaster
  readonly reclaimWithinMs: number
  readonly compareWaiting: (left: JobRecord, right: JobRecord) => number
  readonly endOf: (job: JobRecord) => number
}

/** Writes explanations; costs one step for each waiting job, as the position in the queue is counted. */
export class ExplanationWriter {
  readonly #state: ExplainedState

  constructor (state: ExplainedState) {
    this.#state = state
  }

  /** The explanation of a job at `nowMs`. */
  explain (jobId: string, nowMs: number): JobExplanation {
    const job = this.#state.jobs.get(jobId)
    const refusal = this.#state.refused.get(jobId)
    if (refusal !== undefined && (job === undefined || job.isLeaving)) return answer(jobId, 'refused', refusal.detail)
    if (job === undefined) return answer(jobId, 'unknown', 'no job of this ID waits or runs')
    if (job.state === 'placed') return explainPlaced(job)
    return { ...this.#explainWaiting(job, nowMs), queuePosition: this.#position(job) }
  }

  #explainWaiting (job: JobRecord, nowMs: number): JobExplanation {
    const { organisationId, jobId } = job.spec
    if (job.state === 'claiming') {
      return waiting(jobId, `its cells are kept until ${job.waitsFor.size} jobs have left them`, job.waitsFor,
        this.#state.reclaimWithinMs)
    }
    const quota = this.#state.shares.quota(organisationId)
    const inUse = this.#state.shares.inUse(organisationId)
    if (inUse + job.shape.accelerators > quota) return this.#explainQuota(job, quota, inUse, nowMs)
    if (!job.shape.isPossible) return waiting(jobId, 'the present inventory holds no such shape', [])
    return this.#explainCapacity(job, nowMs)
  }

  #explainQuota (job: JobRecord, quota: number, inUse: number, nowMs: number): JobExplanation {
    const { organisationId, jobId } = job.spec
    const own = [...this.#state.jobs.values()].filter(other =>
      other.heldAccelerators > 0 && other.spec.organisationId === organisationId)
    own.sort((left, right) => this.#state.endOf(left) - this.#state.endOf(right))
    let missing = inUse + job.shape.accelerators - quota
    const blockers: JobRecord[] = []
    for (const other of own) {
      if (missing <= 0) break
      blockers.push(other)
      missing -= other.heldAccelerators
    }
    const last = blockers.at(-1)
    const startInMs = last === undefined || missing > 0 ? undefined : this.#state.endOf(last) - nowMs
    const reason = `${organisationId} holds ${inUse} of ${quota} accelerators of its quota, ` +
      `the job needs ${job.shape.accelerators}`
    return waiting(jobId, reason, blockers, startInMs)
  }

  #explainCapacity (job: JobRecord, nowMs: number): JobExplanation {
    const { jobId, acceleratorModel } = job.spec
    const reservation = this.#state.reservations.get(acceleratorModel)
    if (reservation?.job === job) {
      return waiting(jobId, 'it is first in the order and holds a start-time reservation', reservation.blockers,
        reservation.startMs - nowMs)
    }
    const forecast = this.#state.forecaster.forecast(job.shape, nowMs, () => true)
    if (forecast === undefined) return waiting(jobId, 'the working hardware does not hold its shape at present', [])
    const blockers = new Set(forecast.blockers)
    if (reservation !== undefined) blockers.add(reservation.job)
    const startMs = Math.max(forecast.startMs, reservation?.startMs ?? 0)
    const reason = forecast.blockers.size === 0
      ? 'free cells are kept for jobs before it'
      : `no ${job.spec.tasks} free cells of its shape with adjacency ${job.spec.adjacency}`
    return waiting(jobId, reason, blockers, startMs - nowMs)
  }

  #position (job: JobRecord): number {
    let position = 1
    for (const other of this.#state.jobs.values()) {
      if (other !== job && other.state !== 'placed' && this.#state.compareWaiting(other, job) < 0) position += 1
    }
    return position
  }
}

function explainPlaced (job: JobRecord): JobExplanation {
  const { jobId } = job.spec
  if (!job.isReclaiming) return answer(jobId, 'placed', job.placement!.reason)
  const claimants = [...job.claimants].map(claimant => claimant.spec.jobId)
  return { ...answer(jobId, 'reclaiming', 'its lent capacity is needed by others'), blockedByJobIds: claimants }
}

function answer (jobId: string, state: JobExplanation['state'], reason: string): JobExplanation {
  return { jobId, state, reason, queuePosition: 0, blockedByJobIds: [] }
}

function waiting (
  jobId: string, reason: string, blockers: Iterable<JobRecord>, startInMs?: number
): JobExplanation {
  const blockedByJobIds = [...blockers].slice(0, MAX_BLOCKERS_NAMED).map(job => job.spec.jobId)
  const explanation: JobExplanation = { jobId, state: 'waiting', reason, queuePosition: 0, blockedByJobIds }
  if (startInMs === undefined) return explanation
  return { ...explanation, estimatedStartInMs: Math.max(0, Math.round(startInMs)) }
}
