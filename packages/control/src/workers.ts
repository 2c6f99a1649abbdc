/** Workers that announced themselves, with the state that the control nodes agreed on. */
import type { WorkerState } from '@comfreygrade/core'
import { done, refuse } from './command-results.js'
import type { CommandResult, ControlCommand } from './commands.js'

/** A worker as it is kept; records are replaced, never changed. */
export interface WorkerRecord {
  readonly workerId: string
  readonly state: WorkerState
  /** A higher incarnation is another process, without the tasks of the one before. */
  readonly incarnation: number
  readonly address: string
}

type WorkerStateCommand = Extract<ControlCommand, { kind: 'worker_state' }>

/** Announced workers by ID. */
export class WorkerTable {
  readonly #workers = new Map<string, WorkerRecord>()

  get (workerId: string): WorkerRecord | undefined {
    return this.#workers.get(workerId)
  }

  records (): IterableIterator<WorkerRecord> {
    return this.#workers.values()
  }

  /** Takes over a change unless a later incarnation is known. */
  apply ({ workerId, state, incarnation, address }: WorkerStateCommand): CommandResult {
    const known = this.#workers.get(workerId)
    if (known !== undefined && known.incarnation > incarnation) {
      return refuse('stale_term', `worker ${workerId} has incarnation ${known.incarnation}, the command names ${incarnation}`)
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
