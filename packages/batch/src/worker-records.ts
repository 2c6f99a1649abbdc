/** Replicated records of workers: latest incarnations, recorded ends and departures. */
import type { Departure, WorkerIncarnation } from './commands.js'

/** The latest incarnation of a worker that a command named, and the last of its run ends that is recorded. */
export interface WorkerRecord {
  readonly incarnation: number
  lastEndSequence: number
  departure?: Departure
  /** Log time of the latest command that named the worker; absent from records of older versions. */
  usedLogMs?: number
  /** Keys of freed runs whose ends have counted already; absent where there are none. */
  countedRuns?: string[] | undefined
}

/** Time for which the record of a worker without runs is kept; far longer than a message can be delayed. */
const WORKER_RETENTION_MS = 86_400_000

/**
 * Records in the order of their latest use.
 *
 * @example
 * const records = new WorkerRecords([])
 * records.use({ workerId: 'w1', incarnation: 5 }, logTimeMs).lastEndSequence // 0
 */
export class WorkerRecords {
  readonly #records: Map<string, WorkerRecord>

  constructor (entries: Iterable<readonly [string, WorkerRecord]>) {
    this.#records = new Map(entries)
  }

  /** All records in serialisable form. */
  entries (): ReadonlyArray<readonly [string, WorkerRecord]> {
    return [...this.#records]
  }

  /** Workers whose latest incarnation is not known to have left. */
  presentWorkerIds (): string[] {
    return [...this.#records].filter(([, { departure }]) => departure !== 'left').map(([workerId]) => workerId)
  }

  /** Sequence number of the last recorded run end of this incarnation; 0 for none. */
  lastEndSequence ({ workerId, incarnation }: WorkerIncarnation): number {
    const record = this.#records.get(workerId)
    return record?.incarnation === incarnation ? record.lastEndSequence : 0
  }

  /** Whether this incarnation is leaving or has left; an earlier one than the latest has left. */
  departureOf ({ workerId, incarnation }: WorkerIncarnation): Departure | undefined {
    const record = this.#records.get(workerId)
    if (record === undefined || record.incarnation < incarnation) return undefined
    return record.incarnation > incarnation ? 'left' : record.departure
  }

  /** The latest incarnation of a worker, if it is leaving and is not known to have left. */
  leavingIncarnation (workerId: string): WorkerIncarnation | undefined {
    const record = this.#records.get(workerId)
    return record?.departure === 'leaving' ? { workerId, incarnation: record.incarnation } : undefined
  }

  /** Whether the end of a freed run has counted already. */
  hasCounted (worker: WorkerIncarnation, runKey: string): boolean {
    return this.#recordOf(worker)?.countedRuns?.includes(runKey) === true
  }

  #recordOf ({ workerId, incarnation }: WorkerIncarnation): WorkerRecord | undefined {
    const record = this.#records.get(workerId)
    return record?.incarnation === incarnation ? record : undefined
  }

  /** The record of a worker, which is that of a later incarnation where one is known. A newer one replaces it. */
  use ({ workerId, incarnation }: WorkerIncarnation, logTimeMs: number): WorkerRecord {
    const known = this.#records.get(workerId)
    const record: WorkerRecord = known === undefined || known.incarnation < incarnation
      ? { incarnation, lastEndSequence: 0 }
      : known
    record.usedLogMs = logTimeMs
    this.#records.delete(workerId)
    this.#records.set(workerId, record)
    return record
  }

  /** Records freed runs of an incarnation whose ends have counted; without effect where a later one is known. */
  addCounted (worker: WorkerIncarnation, runKeys: readonly string[]): void {
    const record = this.#recordOf(worker)
    if (record === undefined || runKeys.length === 0) return
    record.countedRuns = [...record.countedRuns ?? [], ...runKeys]
  }

  /** Removes a run whose end has counted, once the end is recorded. */
  removeCounted (worker: WorkerIncarnation, runKey: string): void {
    const record = this.#recordOf(worker)
    if (record === undefined) return
    record.countedRuns = optionalList(record.countedRuns?.filter(key => key !== runKey) ?? [])
  }

  /** Removes the records of workers without runs that no command has named for long. */
  removeUnused (logTimeMs: number, hasRuns: (workerId: string) => boolean): void {
    for (const [workerId, record] of this.#records) {
      record.usedLogMs ??= logTimeMs
      if (logTimeMs - record.usedLogMs <= WORKER_RETENTION_MS) return
      if (hasRuns(workerId)) this.use({ workerId, incarnation: record.incarnation }, logTimeMs)
      else this.#records.delete(workerId)
    }
  }
}

function optionalList (keys: string[]): string[] | undefined {
  return keys.length === 0 ? undefined : keys
}
