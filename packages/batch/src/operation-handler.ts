/** Operations of callers and operators: queries are answered from the state, changes are proposed to the log. */
import { fail, succeed, type Clock, type EventLog, type Failure, type Metrics } from '@comfreygrade/core'
import type { AdmissionPolicy } from './admission-policy.js'
import type { BatchState } from './batch-state.js'
import type { BatchCommand, CommandResult, MaintenanceWave } from './commands.js'
import { EvacuationRequests } from './evacuation-requests.js'
import { GuaranteeCoverage } from './guarantee-coverage.js'
import { JobStorageLimit } from './job-storage-limit.js'
import { visibleState } from './job-record.js'
import { isValidJobId, MAX_JOB_ID_LENGTH, validateJob, type JobSpec, type StepSpec } from './jobs.js'
import type { BatchOperation, BatchResult, QueueRequest } from './operations.js'
import { PermittedRegions } from './permitted-regions.js'
import { queueAddress, QueueDirectory, validateDocument, type QueueConfiguration } from './queues.js'
import type { BatchSettings } from './settings.js'
import type { WorkerRegistry } from './worker-registry.js'

/** Outcome of a proposed command. */
export type ProposalOutcome =
  | { readonly kind: 'applied', readonly result: CommandResult }
  /** `isCertain` where the command can never take effect; otherwise it may still be applied. */
  | { readonly kind: 'rejected', readonly isCertain: boolean }

/** Options of {@link OperationHandler}. */
export interface OperationHandlerOptions {
  readonly state: BatchState
  readonly registry: WorkerRegistry
  readonly settings: BatchSettings
  readonly admission: AdmissionPolicy
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: EventLog
  readonly propose: (command: BatchCommand, onSettled: (outcome: ProposalOutcome) => void) => void
  readonly reply: (requestId: string, result: BatchResult) => void
  /** Called once the cancellation of a job is committed. */
  readonly onCancelled: (jobId: string) => void
}

/**
 * The queue, job and organisation that a request refers to; `jobId` is empty where it names only the queue. Job IDs are
 * unique across all queues, and a job is looked up by its ID alone.
 */
interface ResolvedRequest {
  readonly queue: QueueConfiguration
  readonly jobId: string
  readonly organisation: string
}

/** Handles the operations that reach the leader. */
export class OperationHandler {
  readonly #options: OperationHandlerOptions
  readonly #evacuations: EvacuationRequests
  readonly #regions: PermittedRegions
  readonly #storage: JobStorageLimit
  /** Configurations that are proposed and not settled yet. */
  readonly #proposedDirectories = new Set<QueueDirectory>()
  /** Number of submissions of each job that are proposed and not settled yet. */
  readonly #proposedJobs = new Map<string, number>()

  constructor (options: OperationHandlerOptions) {
    this.#options = options
    this.#regions = new PermittedRegions(options.state, options.settings)
    this.#storage = new JobStorageLimit(options)
    this.#evacuations = new EvacuationRequests({
      ...options,
      refuse: (requestId, failure) => { this.#refuse(requestId, failure) },
      answerProposal: (requestId, outcome) => { this.#answerProposal(requestId, outcome) }
    })
  }

  /** Answers an operation, either at once or after its command is committed. */
  handle (requestId: string, operation: BatchOperation): void {
    switch (operation.kind) {
      case 'submit': return this.#submit(requestId, operation.request, operation.spec)
      case 'job_state': return this.#answerJobState(requestId, operation.request)
      case 'cancel': return this.#cancel(requestId, operation.request)
      case 'put_configuration': return this.#putConfiguration(requestId, operation)
      case 'get_configuration': return this.#answerConfiguration(requestId)
      case 'start_wave': return this.#startWave(requestId, operation.wave)
      case 'wave_state': return this.#answerWaveState(requestId, operation.waveId)
      case 'start_evacuation':
      case 'end_evacuation': return this.#evacuations.handle(requestId, operation)
      case 'list_evacuations': return this.#reply(requestId, succeed(this.#evacuations.list()))
    }
  }

  #submit (requestId: string, request: QueueRequest, fields: Omit<JobSpec, 'jobId'>): void {
    const resolved = this.#resolve(request)
    if ('kind' in resolved) return this.#refuse(requestId, resolved)
    const { queue, jobId, organisation } = resolved
    if (!isValidJobId(jobId)) return this.#refuse(requestId, invalidJobId(jobId))
    if (this.#options.state.job(jobId) !== undefined) return this.#accept(requestId)
    // An earlier submission that is about to be committed was admitted, and its job will run.
    const isProposed = this.#proposedJobs.has(jobId)
    const regionRefusal = isProposed ? undefined : this.#regionRefusalOf(queue, organisation)
    if (regionRefusal !== undefined) return this.#refuse(requestId, regionRefusal)
    const valid = validateJob(fields)
    if (!valid.ok) return this.#refuse(requestId, valid.failure)
    if (!isProposed && this.#isBeingRemoved(queue)) return this.#refuse(requestId, queueIsBeingRemoved(queue))
    const spec = { ...fields, jobId }
    const refusal = this.#refusalOf(spec, resolved)
    if (refusal !== undefined) return this.#refuse(requestId, refusal)
    this.#proposedJobs.set(jobId, (this.#proposedJobs.get(jobId) ?? 0) + 1)
    this.#storage.reserve(spec)
    this.#options.propose({
      kind: 'submit_job',
      spec,
      queueAddress: queueAddress(queue),
      organisation,
      acceptedWallMs: this.#options.clock.wallMs()
    }, outcome => {
      this.#settleProposedJob(jobId)
      this.#storage.release(spec)
      this.#options.log.info('job submission settled', {
        jobId,
        queue: queue.name,
        organisation,
        priority: queue.priority,
        steps: spec.steps.map(describeStep),
        outcome: outcome.kind
      })
      this.#answerProposal(requestId, outcome)
    })
  }

  /** A job whose earlier submission is about to be committed is not refused, since it will run. */
  #refusalOf (spec: JobSpec, { queue, organisation }: ResolvedRequest): Failure | undefined {
    const { admission, clock, registry, state } = this.#options
    if (this.#proposedJobs.has(spec.jobId)) return undefined
    const refusal = admission.refusalOf({
      spec,
      queue,
      organisation,
      nowMs: clock.monotonicMs(),
      views: registry.views(),
      presentWorkerIds: () => state.presentWorkerIds(),
      isConfigurationPending: this.#proposedDirectories.size > 0,
      isWithinGuarantee: () => new GuaranteeCoverage(state).wouldCover(spec, queue, organisation)
    })
    return refusal ?? this.#storage.refusalOf(spec)
  }

  #settleProposedJob (jobId: string): void {
    const count = this.#proposedJobs.get(jobId) ?? 0
    if (count > 1) this.#proposedJobs.set(jobId, count - 1)
    else this.#proposedJobs.delete(jobId)
  }

  /** A job that is committed after the configuration that removes its queue would never run. */
  #isBeingRemoved (queue: QueueConfiguration): boolean {
    return [...this.#proposedDirectories].some(directory => directory.at(queueAddress(queue)) === undefined)
  }

  /** A job that is committed after a configuration which permits it nowhere would not run either. */
  #regionRefusalOf (queue: QueueConfiguration, organisation: string): Failure | undefined {
    const { directory } = this.#options.state
    const refusal = directory === null ? undefined : this.#regions.refusalOf(queue, organisation, directory)
    if (refusal !== undefined) return refusal
    const isToBeRefused = [...this.#proposedDirectories].some(proposed => {
      const proposedQueue = proposed.at(queueAddress(queue))
      return proposedQueue !== undefined && this.#regions.refusalOf(proposedQueue, organisation, proposed) !== undefined
    })
    const detail = `a configuration that permits queue ${queue.name} in no region is being committed`
    return isToBeRefused ? { kind: 'control_unavailable', detail } : undefined
  }

  #cancel (requestId: string, request: QueueRequest): void {
    const resolved = this.#resolve(request)
    if ('kind' in resolved) return this.#refuse(requestId, resolved)
    const job = this.#options.state.job(resolved.jobId)
    if (job === undefined) return this.#refuse(requestId, unknownJob(resolved.jobId))
    if (job.state !== 'open') return this.#accept(requestId)
    this.#options.propose({ kind: 'cancel_job', jobId: resolved.jobId }, outcome => {
      this.#options.log.info('job cancellation settled', { jobId: resolved.jobId, outcome: outcome.kind })
      if (outcome.kind === 'applied') this.#options.onCancelled(resolved.jobId)
      this.#answerProposal(requestId, outcome)
    })
  }

  #answerJobState (requestId: string, request: QueueRequest): void {
    const resolved = this.#resolve(request)
    if ('kind' in resolved) return this.#refuse(requestId, resolved)
    const { queue, jobId } = resolved
    if (jobId === '') {
      const pendingJobs = this.#countPending(queueAddress(queue))
      return this.#reply(requestId, succeed({ kind: 'queue', pendingJobs }))
    }
    const job = this.#options.state.job(jobId)
    if (job === undefined) return this.#refuse(requestId, unknownJob(jobId))
    const isRunning = job.state === 'open' && this.#options.registry.hasStarted(jobId)
    this.#reply(requestId, succeed({ kind: 'job_state', state: isRunning ? 'running' : visibleState(job) }))
  }

  #countPending (address: string): number {
    let count = 0
    for (const job of this.#options.state.openJobs()) {
      if (job.queueAddress === address && !job.hasStarted && !this.#options.registry.hasStarted(job.spec.jobId)) count++
    }
    return count
  }

  #resolve (request: QueueRequest): Failure | ResolvedRequest {
    const { directory } = this.#options.state
    if (directory === null) return { kind: 'no_configuration', detail: 'no configuration has been accepted yet' }
    const queue = directory.match(request.host, request.path)
    if (queue === undefined) return { kind: 'unknown_queue', detail: `no queue at ${request.host}${request.path}` }
    const organisation = request.apiKey === undefined ? undefined : directory.organisationOf(request.apiKey)
    if (organisation === undefined && !queue.isAnonymous) {
      return { kind: 'unknown_key', detail: `the request has no API key that configuration ${directory.document.version} contains` }
    }
    return { queue, jobId: request.path.slice(queue.pathPrefix.length), organisation: organisation ?? '' }
  }

  #putConfiguration (requestId: string, { document }: Extract<BatchOperation, { kind: 'put_configuration' }>): void {
    const valid = validateDocument(document)
    if (!valid.ok) return this.#refuse(requestId, valid.failure)
    const { directory } = this.#options.state
    if (directory !== null && document.version <= directory.document.version) return this.#accept(requestId)
    const proposed = new QueueDirectory(document)
    this.#proposedDirectories.add(proposed)
    this.#options.propose({ kind: 'put_configuration', document }, outcome => {
      this.#proposedDirectories.delete(proposed)
      this.#options.log.info('configuration proposal settled', { version: document.version, outcome: outcome.kind })
      this.#answerProposal(requestId, outcome)
    })
  }

  #answerConfiguration (requestId: string): void {
    const { directory } = this.#options.state
    if (directory === null) return this.#refuse(requestId, { kind: 'no_configuration', detail: 'no configuration has been accepted yet' })
    this.#reply(requestId, succeed({ kind: 'configuration', source: directory.document.source }))
  }

  #startWave (requestId: string, wave: MaintenanceWave): void {
    if (this.#options.state.wave(wave.waveId) !== undefined) return this.#accept(requestId)
    const startedWallMs = this.#options.clock.wallMs()
    this.#options.propose({ kind: 'start_wave', wave, startedWallMs }, outcome => { this.#answerProposal(requestId, outcome) })
  }

  #answerWaveState (requestId: string, waveId: string): void {
    const record = this.#options.state.wave(waveId)
    if (record === undefined) {
      return this.#refuse(requestId, { kind: 'unknown_wave', detail: `wave ${waveId} is not known` })
    }
    const isDone = record.wave.vmIds.every(vmId => record.done.includes(vmId))
    this.#reply(requestId, succeed({ kind: 'wave', state: isDone ? 'completed' : 'running' }))
  }

  /** A request that got `control_unavailable` had no effect and can be repeated safely. */
  #answerProposal (requestId: string, outcome: ProposalOutcome): void {
    if (outcome.kind === 'applied') return this.#accept(requestId)
    const detail = 'the control leader lost leadership before it could confirm that the command was committed'
    this.#refuse(requestId, outcome.isCertain ? { kind: 'control_unavailable', detail } : { kind: 'outcome_unknown', detail })
  }

  #accept (requestId: string): void {
    this.#reply(requestId, succeed({ kind: 'accepted' }))
  }

  #refuse (requestId: string, failure: Failure): void {
    this.#options.metrics.increment('refusal', { kind: failure.kind })
    this.#reply(requestId, fail(failure.kind, failure.detail, failure.retryAfterMs))
  }

  #reply (requestId: string, result: BatchResult): void {
    this.#options.reply(requestId, result)
  }
}

/** The fields of a step that decide where it can run, for the log. */
function describeStep (
  { taskCount, shape, estimateMs, dependsOn, isGang, isSameRack, isCheckpointing, isLasting, dataRack }: StepSpec
): object {
  return { taskCount, ...shape, estimateMs, dependsOn, isGang, isSameRack, isCheckpointing, isLasting, dataRack }
}

function invalidJobId (jobId: string): Failure {
  const detail = jobId === ''
    ? 'the path names no job'
    : `a job ID has at most ${MAX_JOB_ID_LENGTH} characters and no dot`
  return { kind: 'invalid_request', detail }
}

function queueIsBeingRemoved ({ name }: QueueConfiguration): Failure {
  const detail = `a configuration without the queue ${name} is being committed`
  return { kind: 'control_unavailable', detail }
}

function unknownJob (jobId: string): Failure {
  return { kind: 'unknown_job', detail: `job ${jobId} is not known` }
}
