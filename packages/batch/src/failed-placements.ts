/** Placements that failed in a scheduling pass, so that steps which need at least as much are not tried again. */
import { occupiedShape } from './jobs.js'
import type { WaitReason } from './scheduling-pass.js'
import type { WaitingStep } from './waiting-steps.js'
import type { Candidates } from './worker-selection.js'

/** What one task needs of a worker for its placement. */
interface Requirement {
  readonly cpuMillicores: number
  readonly memoryMb: number
  readonly acceleratorCount: number
  /** A task that is expected to end sooner may use capacity that is reserved for later. */
  readonly highRunMs: number
}

interface FailedPlacement {
  readonly requirement: Requirement
  readonly reason: WaitReason
}

/**
 * Free capacity only shrinks during a pass. So where no worker of a pool had room for one more task, there is none for
 * a task that needs at least as much of the same pool, or of a part of it.
 *
 * Load pattern: many steps that wait for one kind of worker, before others that fit on idle workers.
 *
 * @example
 * failed.add(step, { workers, groups }, 'capacity')
 * failed.reasonFor(laterStep) // 'capacity'
 */
export class FailedPlacements {
  /** By the service and the required label of the steps; the smallest requirements that failed. */
  readonly #byPool = new Map<string, FailedPlacement[]>()

  /**
   * Records that one more task of a step did not fit. Ignored unless all workers of the pool were candidates: a gang
   * may fit task by task, and other steps may use workers that this one was kept from.
   */
  add (step: WaitingStep, { workers }: Candidates, reason: WaitReason): void {
    const { isGang, maxTasksPerWorker, dataRack } = step.spec
    const isNarrowed = dataRack !== '' && workers.every(worker => worker.view.latest.rack === dataRack)
    if (isGang || maxTasksPerWorker > 0 || step.hasAdvicePolicy || isNarrowed) return
    const requirement = requirementOf(step)
    const key = poolKey(step, step.spec.requiredLabel)
    const others = (this.#byPool.get(key) ?? []).filter(known => !isAtLeast(known.requirement, requirement))
    this.#byPool.set(key, [...others, { requirement, reason }])
  }

  /** Why no task of a step can be placed; undefined where that is not known. */
  reasonFor (step: WaitingStep): WaitReason | undefined {
    const { requiredLabel } = step.spec
    return this.#reasonIn(poolKey(step, requiredLabel), step) ??
      (requiredLabel === '' ? undefined : this.#reasonIn(poolKey(step, ''), step))
  }

  #reasonIn (key: string, step: WaitingStep): WaitReason | undefined {
    const requirement = requirementOf(step)
    return this.#byPool.get(key)?.find(failed => isAtLeast(requirement, failed.requirement))?.reason
  }
}

function poolKey ({ job }: WaitingStep, label: string): string {
  return JSON.stringify([job.service, label])
}

function requirementOf ({ spec, runTime }: WaitingStep): Requirement {
  return { ...occupiedShape(spec), highRunMs: runTime.highMs }
}

function isAtLeast (left: Requirement, right: Requirement): boolean {
  return left.cpuMillicores >= right.cpuMillicores && left.memoryMb >= right.memoryMb &&
    left.acceleratorCount >= right.acceleratorCount && left.highRunMs >= right.highRunMs
}
