/** Builds a control state of the planned size: 21,000 workers, 100,000 running tasks and 35,000 jobs per day. */
import {
  defaultRules, diffDocument, emptyConfiguration, type ConfigurationDocument, type Failure, type JobExplanation,
  type JobSpec, type Placement, type WorkerReport
} from '@comfreygrade/core'
import {
  ControlState, defaultControlStateSettings, GuaranteeValidator, JobScheduler,
  type ControlCommand, type CommandResult, type ControlStateOptions
} from '@comfreygrade/control'
import type { FleetReport, PlacementDecision, ReclaimCheck } from '@comfreygrade/placement'

export const WORKERS = 21_000
export const RUNNING_TASKS = 100_000
export const ENDED_JOBS = 35_000
const ORGANISATIONS = 830
const GANG_TASKS = 8
const WORKERS_PER_RACK = 8
/**
 * More than planned: enough for one accelerator per running task. The size of the state does not depend on the number
 * of accelerators.
 */
const ACCELERATORS_PER_WORKER = 5
export const START_LOG_TIME_MS = 1_800_000_000_000

/** Accepts every set of guarantees, as their validation belongs to the placement package and is not measured here. */
class AcceptingValidator extends GuaranteeValidator {
  override validate (): Failure | undefined {
    return undefined
  }
}

/** Makes no decisions, so that only the cost of the control package is measured. */
export class NoOpScheduler extends JobScheduler {
  override applyConfiguration (): void {}
  override workerJoined (): void {}
  override workerLost (): void {}
  override drainWorker (): void {}
  override submit (): Failure | undefined { return undefined }
  override restore (): void {}
  override cancel (): void {}
  override taskFailed (): void {}
  override jobEnded (): void {}
  override jobReclaimed (): void {}
  override runPass (): PlacementDecision[] { return [] }
  override explain (jobId: string): JobExplanation {
    return { jobId, state: 'unknown', reason: '', queuePosition: 0, blockedByJobIds: [] }
  }

  override report (): FleetReport { throw new Error('report() is not supported by NoOpScheduler') }
  override checkReclaimable (): ReclaimCheck { return { isReclaimable: true, missingCells: [] } }
}

export const stateOptions: ControlStateOptions = {
  settings: defaultControlStateSettings,
  validator: new AcceptingValidator()
}

/** Returns an inventory of `WORKERS` workers and 830 organisations. */
export function benchInventory (): ConfigurationDocument {
  const racks = Math.ceil(WORKERS / WORKERS_PER_RACK)
  return {
    racks: Array.from({ length: racks }, (_, rack) =>
      ({ rackId: `rack-${rack}`, region: `region-${rack % 7}`, availabilityZone: `zone-${rack % 23}` })),
    workers: Array.from({ length: WORKERS }, (_, worker) => ({
      workerId: `worker-${worker}`,
      rackId: `rack-${Math.floor(worker / WORKERS_PER_RACK)}`,
      rackPosition: worker % WORKERS_PER_RACK,
      cores: 64,
      memoryGb: 256,
      acceleratorModel: 'gpu',
      accelerators: ACCELERATORS_PER_WORKER
    })),
    organisations: Array.from({ length: ORGANISATIONS }, (_, organisation) =>
      ({ organisationId: `organisation-${organisation}`, quotaAccelerators: 1_000, weight: 1 })),
    guarantees: [],
    rules: defaultRules
  }
}

/** Returns the specification of a gang of eight tasks. */
export function benchJob (number: number): JobSpec {
  return {
    jobId: `01890000-0000-7000-8000-${number.toString(16).padStart(12, '0')}`,
    organisationId: `organisation-${number % ORGANISATIONS}`,
    jobClass: `class-${number % 100}`,
    tasks: GANG_TASKS,
    acceleratorModel: 'gpu',
    acceleratorsPerTask: 1,
    coresPerTask: 8,
    memoryGbPerTask: 32,
    adjacency: 'rack',
    declaredRunMs: 14_400_000,
    priority: 'normal',
    preemption: 'repeat'
  }
}

/**
 * Returns a placement on accelerators chosen by the job's number; numbers below 13,125 (105,000 / 8) do not overlap.
 */
export function benchPlacement (number: number): Placement {
  const tasks = Array.from({ length: GANG_TASKS }, (_, taskIndex) => {
    const accelerator = number * GANG_TASKS + taskIndex
    return {
      taskIndex,
      workerId: `worker-${Math.floor(accelerator / ACCELERATORS_PER_WORKER)}`,
      firstAccelerator: accelerator % ACCELERATORS_PER_WORKER,
      acceleratorCount: 1
    }
  })
  return { capacityClass: 'lent', reason: 'the smallest free cells of the fullest rack', tasks }
}

/** Applies commands to a control state at consecutive log indexes, in place of a replicated log. */
export class AppliedState {
  readonly state = new ControlState(stateOptions)
  #index = 0

  get index (): number {
    return this.#index
  }

  /** Applies a command. Throws if it is refused, so that no refusal is measured by mistake. */
  apply (command: ControlCommand): CommandResult {
    this.#index += 1
    const result = this.state.apply(command, this.#index, START_LOG_TIME_MS + this.#index)
    if (result.kind === 'refused') throw new Error(`command ${command.kind} was refused: ${result.failure.detail}`)
    return result
  }

  /** Submits, places and starts a job; returns its lease ID. */
  runJob (number: number): number {
    const { jobId } = benchJob(number)
    this.apply({ kind: 'submit_job', spec: benchJob(number) })
    this.apply({ kind: 'place_job', jobId, placement: benchPlacement(number) })
    const leaseId = this.#index
    this.apply({ kind: 'start_job', jobId, leaseId })
    this.apply({ kind: 'job_running', jobId, leaseId })
    return leaseId
  }
}

/** Builds a state with all workers active, `RUNNING_TASKS` tasks running, and the ended jobs of one day. */
export function buildAppliedState (): AppliedState {
  const applied = new AppliedState()
  applied.apply({ kind: 'apply_configuration', change: diffDocument(emptyConfiguration(), benchInventory()) })
  for (let worker = 0; worker < WORKERS; worker += 1) applied.apply(activateWorkerCommand(worker, 1))
  for (let number = 0; number < RUNNING_TASKS / GANG_TASKS; number += 1) applied.runJob(number)
  for (let number = 0; number < ENDED_JOBS; number += 1) {
    const spec = benchJob(1_000_000 + number)
    applied.apply({ kind: 'submit_job', spec })
    applied.apply({ kind: 'end_job', jobId: spec.jobId, leaseId: 0, outcome: 'cancelled', reason: 'cancelled by the caller' })
  }
  return applied
}

/** Returns the command that makes a worker active. */
export function activateWorkerCommand (worker: number, incarnation: number): ControlCommand {
  const address = `http://10.${worker >> 16}.${(worker >> 8) & 255}.${worker & 255}:8080`
  return { kind: 'worker_state', workerId: `worker-${worker}`, state: 'active', incarnation, address }
}

/** Returns the report of a worker that runs all tasks placed on it. */
export function benchReport (state: ControlState, worker: number, sequence: number): WorkerReport {
  const workerId = `worker-${worker}`
  const tasks = state.allocatedCells(workerId).map(({ jobId, leaseId, task }) =>
    ({ jobId, leaseId, taskIndex: task.taskIndex, state: 'running' as const }))
  return { workerId, incarnation: 1, sequence, address: state.worker(workerId)?.address ?? '', tasks }
}
