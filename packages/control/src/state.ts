/** Replicated state of the control nodes. */
import {
  toDocument, type Configuration, type ConfigurationChange, type ConfigurationDocument, type JobPhase, type Placement
} from '@comfreygrade/core'
import { ClaimTable, toClaimView, type ClaimRecord } from './claims.js'
import { ConfigurationHistory, type ChangeCheck, type ConfigurationSnapshot } from './configuration-history.js'
import { DrainSet } from './drains.js'
import { JobTable, type JobRecord, type LogPosition } from './jobs.js'
import { done, refuse } from './command-results.js'
import { WorkerTable, type WorkerRecord } from './workers.js'
import type { CommandResult, ControlCommand } from './commands.js'
import type { CellAllocation } from './cell-allocations.js'
import type { ClaimView, Drain, DrainKind } from './operations.js'
import type { GuaranteeValidator } from './ports.js'
import type { ControlStateSettings } from './settings.js'

/** Snapshot of the whole state as plain data, which adapters encode. Its records are shared with the live state. */
export interface ControlSnapshot {
  readonly formatVersion: 1
  readonly lastIndex: number
  readonly logTimeMs: number
  readonly configuration: ConfigurationSnapshot
  /** In submission order. */
  readonly jobs: readonly JobRecord[]
  /** In the order of their first grant. */
  readonly claims: readonly ClaimRecord[]
  readonly workers: readonly WorkerRecord[]
  readonly drains: readonly Drain[]
}

/** Dependencies of the state, which must be the same on every replica. */
export interface ControlStateOptions {
  readonly settings: ControlStateSettings
  readonly validator: GuaranteeValidator
}

/**
 * Deterministic state machine driven by the replicated log: the same commands at the same log positions produce the
 * same state and results. A command whose precondition does not hold is refused; it advances log time and the expiry
 * of records, and changes nothing else.
 *
 * @example
 * const state = new ControlState({ settings: defaultControlStateSettings, validator })
 * state.apply({ kind: 'submit_job', spec }, 1, 1_000) // { kind: 'done' }
 */
export class ControlState {
  readonly #configurationHistory: ConfigurationHistory
  readonly #jobs: JobTable
  readonly #claims: ClaimTable
  readonly #workers = new WorkerTable()
  readonly #drains: DrainSet
  #lastIndex = 0
  #logTimeMs = 0

  constructor ({ settings, validator }: ControlStateOptions) {
    this.#configurationHistory = new ConfigurationHistory(settings, validator)
    this.#jobs = new JobTable(settings)
    this.#claims = new ClaimTable(settings)
    this.#drains = new DrainSet(settings.maxDrains)
  }

  /**
   * Restores a state from its snapshot.
   *
   * @example
   * const copy = ControlState.restore(state.snapshot(), options)
   */
  static restore (snapshot: ControlSnapshot, options: ControlStateOptions): ControlState {
    const state = new ControlState(options)
    state.#lastIndex = snapshot.lastIndex
    state.#logTimeMs = snapshot.logTimeMs
    state.#configurationHistory.restore(snapshot.configuration)
    state.#jobs.restore(snapshot.jobs)
    state.#claims.restore(snapshot.claims)
    state.#workers.restore(snapshot.workers)
    state.#drains.restore(snapshot.drains)
    return state
  }

  /**
   * Applies the command of one log entry. Each entry must be applied once, in log order.
   *
   * @param logTimeMs log time of the entry: recorded by the leader that appended it, the same on every replica, and
   * never decreasing along the log. It is in milliseconds since the Unix epoch: the first leader takes the wall time at
   * which its replica was created, and from there it advances with the monotonic clock of each leader. It stands still
   * without a leader.
   */
  apply (command: ControlCommand, index: number, logTimeMs: number): CommandResult {
    if (index <= this.#lastIndex) throw new RangeError(`log entry ${index} cannot be applied after entry ${this.#lastIndex}`)
    this.#lastIndex = index
    this.#logTimeMs = Math.max(this.#logTimeMs, logTimeMs)
    this.#claims.removeExpired(this.#logTimeMs)
    const result = this.#apply(command, { index, logTimeMs: this.#logTimeMs })
    this.#jobs.removeExpired(this.#logTimeMs)
    return result
  }

  snapshot (): ControlSnapshot {
    return {
      formatVersion: 1,
      lastIndex: this.#lastIndex,
      logTimeMs: this.#logTimeMs,
      configuration: this.#configurationHistory.snapshot(),
      jobs: [...this.#jobs.records()],
      claims: this.#claims.records(),
      workers: [...this.#workers.records()],
      drains: this.#drains.list()
    }
  }

  get lastIndex (): number {
    return this.#lastIndex
  }

  /** Log time of the last applied entry. */
  get logTimeMs (): number {
    return this.#logTimeMs
  }

  /** The inventory and rules in force. */
  get configuration (): Configuration {
    return this.#configurationHistory.current
  }

  /** Returns the inventory and rules as the document that operators edit. */
  configurationDocument (): { version: number, document: ConfigurationDocument } {
    return { version: this.configuration.version, document: toDocument(this.configuration) }
  }

  /** Returns the configuration changes after `version`, or undefined if a full copy is needed. */
  changesSince (version: number): ConfigurationChange[] | undefined {
    return this.#configurationHistory.changesSince(version)
  }

  /** Validates a configuration change without applying it. */
  checkChange (change: ConfigurationChange): ChangeCheck {
    return this.#configurationHistory.check(change)
  }

  job (jobId: string): JobRecord | undefined {
    return this.#jobs.get(jobId)
  }

  /** Returns all jobs in submission order, including ended ones within their retention period. */
  jobs (): IterableIterator<JobRecord> {
    return this.#jobs.records()
  }

  jobIdsInPhase (phase: JobPhase): ReadonlySet<string> {
    return this.#jobs.idsInPhase(phase)
  }

  claim (organisationId: string, key: string): ClaimRecord | undefined {
    return this.#claims.get(organisationId, key)
  }

  /** Returns the view of a claim that callers get at the current log time. */
  claimView (organisationId: string, key: string): ClaimView | undefined {
    const record = this.#claims.get(organisationId, key)
    const { maxDeadlineMs } = this.configuration.rules
    return record === undefined ? undefined : toClaimView(record, this.#logTimeMs, maxDeadlineMs)
  }

  /** Returns why a key cannot be claimed at the current log time, or undefined if it can. */
  checkKey (key: string): ReturnType<ClaimTable['checkKey']> {
    return this.#claims.checkKey(key, this.#logTimeMs)
  }

  get claimCount (): number {
    return this.#claims.size
  }

  worker (workerId: string): WorkerRecord | undefined {
    return this.#workers.get(workerId)
  }

  workers (): IterableIterator<WorkerRecord> {
    return this.#workers.records()
  }

  /** Returns the cells of a worker that are allocated to placed jobs. */
  allocatedCells (workerId: string): readonly CellAllocation[] {
    return this.#jobs.allocations.forWorker(workerId)
  }

  drains (): Drain[] {
    return this.#drains.list()
  }

  /** Returns whether an operator drains the resource: from the command on, not only once it has no more work. */
  hasDrain (kind: DrainKind, id: string): boolean {
    return this.#drains.has(kind, id)
  }

  #apply (command: ControlCommand, at: LogPosition): CommandResult {
    switch (command.kind) {
      case 'apply_configuration': return this.#applyConfiguration(command.change)
      case 'submit_job': return this.#submit(command, at)
      case 'place_job': return this.#place(command, at)
      case 'start_job': return this.#jobs.start(command, at)
      case 'job_running': return this.#jobs.markRunning(command, at)
      case 'stop_job': return this.#jobs.stop(command, at)
      case 'requeue_job': return this.#applyFreeingCells(command.jobId, () => this.#jobs.requeue(command, at))
      case 'end_job': return this.#applyFreeingCells(command.jobId, () => this.#jobs.end(command, at))
      case 'worker_state': return this.#setWorkerState(command)
      case 'set_drain': return this.#setDrain(command)
      case 'claim_request': return this.#claim(command, at)
      case 'settle_claim': return this.#claims.settle(command, at.index)
      case 'clock': return done
    }
  }

  #applyConfiguration (change: ConfigurationChange): CommandResult {
    const result = this.#configurationHistory.apply(change)
    if (!result.ok) return { kind: 'refused', failure: result.failure }
    if (result.value === 'repeated') return done
    for (const { kind, id } of change.removes) {
      if (kind === 'worker') this.#deleteRemovedWorker(id)
    }
    return done
  }

  #submit ({ spec }: Extract<ControlCommand, { kind: 'submit_job' }>, at: LogPosition): CommandResult {
    const { organisations, rules } = this.configuration
    const isKnown = this.#jobs.get(spec.jobId) !== undefined
    if (!isKnown && !organisations.has(spec.organisationId)) return refuseUnknownOrganisation(spec.organisationId)
    if (!isKnown && (spec.tasks < 1 || spec.tasks > rules.maxGangTasks)) {
      return refuse('impossible_shape', `the gang has ${spec.tasks} tasks, 1 to ${rules.maxGangTasks} are allowed`)
    }
    return this.#jobs.submit(spec, at)
  }

  #place (command: Extract<ControlCommand, { kind: 'place_job' }>, at: LogPosition): CommandResult {
    const problem = this.#findWorkerError(command.placement)
    return problem === undefined ? this.#jobs.place(command, at) : refuse('invalid_request', problem)
  }

  #findWorkerError ({ tasks }: Placement): string | undefined {
    for (const { workerId, firstAccelerator, acceleratorCount } of tasks) {
      const worker = this.configuration.workers.get(workerId)
      if (worker === undefined) return `worker ${workerId} is not in the inventory`
      const state = this.#workers.get(workerId)?.state ?? 'lost'
      if (state !== 'active') return `worker ${workerId} is ${state}`
      if (this.#drains.has('worker', workerId)) return `worker ${workerId} is draining`
      if (firstAccelerator < 0 || acceleratorCount < 0 || firstAccelerator + acceleratorCount > worker.accelerators) {
        return `accelerators ${firstAccelerator} to ${firstAccelerator + acceleratorCount - 1} of worker ${workerId} do not exist`
      }
    }
    return undefined
  }

  #setWorkerState (command: Extract<ControlCommand, { kind: 'worker_state' }>): CommandResult {
    const { workerId } = command
    const isListed = this.configuration.workers.has(workerId) || this.#workers.get(workerId) !== undefined
    return isListed ? this.#workers.apply(command) : refuse('not_found', `worker ${workerId} is not in the inventory`)
  }

  #setDrain ({ drain, isDraining }: Extract<ControlCommand, { kind: 'set_drain' }>): CommandResult {
    if (isDraining && drain.kind === 'worker' && !this.configuration.workers.has(drain.id)) {
      return refuse('not_found', `worker ${drain.id} is not in the inventory`)
    }
    return this.#drains.set(drain, isDraining)
  }

  #claim (command: Extract<ControlCommand, { kind: 'claim_request' }>, at: LogPosition): CommandResult {
    const isKnown = this.#claims.get(command.organisationId, command.key) !== undefined
    return isKnown || this.configuration.organisations.has(command.organisationId)
      ? this.#claims.claim(command, at.logTimeMs, this.configuration.rules.maxDeadlineMs)
      : refuseUnknownOrganisation(command.organisationId)
  }

  /** Applies a command that may free the cells of a job, and deletes removed workers that have no cells left. */
  #applyFreeingCells (jobId: string, apply: () => CommandResult): CommandResult {
    const tasks = this.#jobs.get(jobId)?.placement?.tasks ?? []
    const result = apply()
    for (const { workerId } of tasks) {
      if (!this.configuration.workers.has(workerId)) this.#deleteRemovedWorker(workerId)
    }
    return result
  }

  #deleteRemovedWorker (workerId: string): void {
    if (this.#jobs.allocations.forWorker(workerId).length > 0) return
    if (this.configuration.workers.has(workerId)) return
    this.#workers.remove(workerId)
    this.#drains.set({ kind: 'worker', id: workerId }, false)
  }
}

function refuseUnknownOrganisation (organisationId: string): CommandResult {
  return refuse('unknown_organisation', `organisation ${organisationId} is not in the inventory`)
}
