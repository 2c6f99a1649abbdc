/** Refusal of jobs that no worker could ever hold, which would otherwise wait without end. */
import { failure, type Clock, type Failure, type Metrics } from '@comfreygrade/core'
import { AdmissionPolicy, type AdmissionRequest } from './admission-policy.js'
import type { StepSpec } from './jobs.js'
import { KnownFleet } from './known-fleet.js'
import type { PassDecision } from './scheduling-pass.js'
import type { BatchSettings } from './settings.js'
import type { QueuedStep } from './waiting-steps.js'

/** Options of {@link ShapeAdmission}. */
export interface ShapeAdmissionOptions {
  readonly settings: BatchSettings
  readonly clock: Clock
  readonly metrics: Metrics
}

/**
 * Refuses a job with a task that no worker of its service could hold, once all workers have reported and while no
 * configuration is pending. Workers that had no runs are known only by their reports; those that restart while the
 * leader changes have reported by the end of the maintenance that stops them.
 */
export class ShapeAdmission extends AdmissionPolicy {
  readonly #options: ShapeAdmissionOptions
  readonly #startedAtMs: number
  protected readonly fleet = new KnownFleet()

  constructor (options: ShapeAdmissionOptions) {
    super()
    this.#options = options
    this.#startedAtMs = options.clock.monotonicMs()
  }

  override recordPass (_listWork: () => readonly QueuedStep[], _decision: PassDecision, _nowMs: number): void {}

  override refusalOf (request: AdmissionRequest): Failure | undefined {
    const { spec, queue, nowMs, views, isConfigurationPending } = request
    this.fleet.record(views)
    const { fleetDiscoveryMs, maintenanceDownMs } = this.#options.settings
    if (isConfigurationPending || nowMs - this.#startedAtMs < fleetDiscoveryMs + maintenanceDownMs) return undefined
    const index = spec.steps.findIndex(step => this.fleet.noneHolds(queue.service, step))
    if (index < 0 || !this.fleet.hasSeen(request.presentWorkerIds())) return undefined
    this.#options.metrics.increment('admission.refused', { reason: 'shape' })
    const { cpuMillicores, memoryMb, acceleratorCount } = (spec.steps[index] as StepSpec).shape
    return failure('impossible_shape', `no worker of service ${queue.service} has ${cpuMillicores} millicores, ` +
      `${memoryMb} MB and ${acceleratorCount} accelerators, which a task of step ${index} needs`)
  }
}
