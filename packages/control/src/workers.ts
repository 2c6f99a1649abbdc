/** Worker table: workers that have reported, with their replicated state. */
import type { WorkerState } from '@comfreygrade/core'
import { done, refuse } from './command-results.js'
import type { CommandResult, ControlCommand } from './commands.js'

/** Stored worker. Records are immutable. */
export interface WorkerRecord {
  readonly workerId: string
  /**
   * `draining`: the worker announced that it is leaving. A drain by an operator is kept in `DrainSet` instead, and
   * quarantine is known to the scheduler only, so the state is never `quarantined`.
   */
  readonly state: WorkerState
  /** Number of the worker process. A later process has none of the tasks of an earlier one. */
  readonly incarnation: number
  readonly address: string
}

type WorkerStateCommand = Extract<ControlCommand, { kind: 'worker_state' }>

/** Worker records by ID. */
export class WorkerTable {
  readonly #workers = new Map<string, WorkerRecord>()

  get (workerId: string): WorkerRecord | undefined {
    return this.#workers.get(workerId)
  }

  records (): IterableIterator<WorkerRecord> {
    return this.#workers.values()
  }

  /** Applies a change, unless a later incarnation is recorded. */
  apply ({ workerId, state, incarnation, address }: WorkerStateCommand): CommandResult {
    const existing = this.#workers.get(workerId)
    if (existing !== undefined && existing.incarnation > incarnation) {
      return refuse('stale_term', `worker ${workerId} has incarnation ${existing.incarnation}, but the command is for incarnation ${incarnation}`)
    }
    this.#workers.set(workerId, { workerId, state, incarnation, address })
    return done
  }

  remove (workerId: string): void {
    this.#workers.delete(workerId)
  }

  restore (records: readonly WorkerRecord[]): void {
    for (const record of records) this.#workers.set(record.workerId, record)
  }
}
