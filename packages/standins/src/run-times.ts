/** Determines how long tasks run on a stand-in worker. */
export abstract class RunTimes {
  /** Returns the run time of each task of a job in milliseconds. */
  abstract runMs (jobId: string): number
}

/**
 * Uses the same run time for every task.
 *
 * @example
 * new FixedRunTime(200).runMs('any') // 200
 */
export class FixedRunTime extends RunTimes {
  readonly #runMs: number

  constructor (runMs: number) {
    super()
    this.#runMs = runMs
  }

  override runMs (): number {
    return this.#runMs
  }
}

/**
 * Selects the run time by job class. Orders carry no job class, so the part of the job ID before the last `-` is used.
 *
 * @example
 * new RunTimeByClass({ nightly: 500 }, 100).runMs('nightly-7') // 500
 */
export class RunTimeByClass extends RunTimes {
  readonly #runMsByClass: Readonly<Record<string, number>>
  readonly #defaultRunMs: number

  constructor (runMsByClass: Readonly<Record<string, number>>, defaultRunMs: number) {
    super()
    this.#runMsByClass = runMsByClass
    this.#defaultRunMs = defaultRunMs
  }

  override runMs (jobId: string): number {
    const jobClass = jobId.slice(0, Math.max(0, jobId.lastIndexOf('-')))
    return this.#runMsByClass[jobClass] ?? this.#defaultRunMs
  }
}
