/**
 * The return of work to a zone whose evacuation has ended: in steps, since the workers of the zone may be cold and work
 * that starts on all of them at once would be slow at once.
 */
import type { Clock } from '@comfreygrade/core'
import { compareValues } from './compare-values.js'
import type { EvacuationRecord } from './evacuations.js'
import type { WorkerView } from './worker-view.js'

/** Number of steps; the first one follows the withdrawal at once. */
const STEP_COUNT = 5
/**
 * Interval between two steps. All workers of the zone get work after four of these, which is less than the 3 s for
 * which a job may wait beside free capacity.
 */
const STEP_INTERVAL_MS = 500

/** Options of {@link EvacuationReturn}. */
export interface EvacuationReturnOptions {
  readonly clock: Clock
  readonly latestOf: (zone: string) => EvacuationRecord | undefined
  readonly viewsIn: (zone: string) => readonly WorkerView[]
}

/** Which workers of a zone may get work again after a withdrawal: an equal share of each service with each step. */
export class EvacuationReturn {
  readonly #options: EvacuationReturnOptions
  /** Held workers by zone, computed once for each time, since a pass asks for every worker. */
  #held = { atMs: -Infinity, byZone: new Map<string, ReadonlySet<string>>() }

  constructor (options: EvacuationReturnOptions) {
    this.#options = options
  }

  /** Whether a worker gets no new runs yet. */
  isHeld ({ latest: { workerId, availabilityZone } }: WorkerView): boolean {
    const endedWallMs = this.#options.latestOf(availabilityZone)?.endedWallMs
    if (endedWallMs === undefined) return false
    const step = Math.floor((this.#options.clock.wallMs() - endedWallMs) / STEP_INTERVAL_MS) + 1
    // After a correction of the clock the end may seem to lie ahead; then nothing is held back.
    if (step < 1 || step >= STEP_COUNT) return false
    return this.#heldIn(availabilityZone, step).has(workerId)
  }

  #heldIn (zone: string, step: number): ReadonlySet<string> {
    const { clock, viewsIn } = this.#options
    const nowMs = clock.monotonicMs()
    if (this.#held.atMs !== nowMs) this.#held = { atMs: nowMs, byZone: new Map() }
    const known = this.#held.byZone.get(zone)
    if (known !== undefined) return known
    const held = new Set(listHeld(viewsIn(zone), step / STEP_COUNT))
    this.#held.byZone.set(zone, held)
    return held
  }
}

/** Whole racks return together where possible, since some gangs need one. */
function listHeld (views: readonly WorkerView[], returnedShare: number): string[] {
  const byService = new Map<string, WorkerView[]>()
  for (const view of views) {
    const pool = byService.get(view.latest.service) ?? []
    pool.push(view)
    byService.set(view.latest.service, pool)
  }
  return [...byService.values()].flatMap(pool => pool
    .sort(compareLocations)
    .slice(Math.ceil(pool.length * returnedShare))
    .map(view => view.latest.workerId))
}

function compareLocations ({ latest: left }: WorkerView, { latest: right }: WorkerView): number {
  return compareValues(left.rack, right.rack) || compareValues(left.workerId, right.workerId)
}
