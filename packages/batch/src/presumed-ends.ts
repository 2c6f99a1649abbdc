/** Runs that have certainly ended, though their workers have not reported how. */
import type { Assignment } from './commands.js'

/** Keeps the runs until their ends are reported or their workers' incarnations have gone. */
export class PresumedEnds {
  readonly #byWorker = new Map<string, Assignment[]>()

  constructor (runs: Iterable<Assignment>) {
    for (const run of runs) this.add(run)
  }

  /** All runs, for a snapshot. */
  runs (): Assignment[] {
    return [...this.#byWorker.values()].flat()
  }

  add (run: Assignment): void {
    this.#byWorker.set(run.workerId, [...this.#runsOf(run.workerId), run])
  }

  /** Whether a run is among them. */
  has ({ workerId, incarnation, taskKey, run }: Assignment): boolean {
    return this.#runsOf(workerId)
      .some(other => other.incarnation === incarnation && other.taskKey === taskKey && other.run === run)
  }

  /** Removes a run; returns whether it was among them. */
  remove ({ workerId, incarnation, taskKey, run }: Assignment): boolean {
    return this.#retain(workerId, other =>
      other.incarnation !== incarnation || other.taskKey !== taskKey || other.run !== run)
  }

  /** Removes the runs of earlier incarnations of a worker. */
  removeBefore (workerId: string, incarnation: number): void {
    this.#retain(workerId, run => run.incarnation >= incarnation)
  }

  #runsOf (workerId: string): Assignment[] {
    return this.#byWorker.get(workerId) ?? []
  }

  /** Returns whether any run was removed. */
  #retain (workerId: string, isKept: (run: Assignment) => boolean): boolean {
    const runs = this.#runsOf(workerId)
    const kept = runs.filter(isKept)
    if (kept.length === 0) this.#byWorker.delete(workerId)
    else this.#byWorker.set(workerId, kept)
    return kept.length < runs.length
  }
}
