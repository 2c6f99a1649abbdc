/** Replicated progress of the occurrences of a job. */
import { IndexSet } from './index-set.js'
import { occurrenceCount, type JobSpec, type StepSpec } from './jobs.js'
import { StepRecord, type StepSnapshot } from './step-record.js'

/** One occurrence of a job's schedule; a job without a schedule has one. */
export interface OccurrenceRecord {
  readonly steps: readonly StepRecord[]
}

/** An occurrence in serialisable form. */
export interface OccurrenceSnapshot {
  readonly index: number
  /** Log time at which its last task was done; undefined before. */
  readonly doneLogMs?: number
  readonly steps: readonly StepSnapshot[]
}

/** The occurrences of a job in serialisable form. */
export interface OccurrencesSnapshot {
  /** Done occurrences, as pairs of a first index and the index after the last one. */
  readonly done: readonly number[]
  /** Occurrences that have started and are not done, and done ones with details. */
  readonly records: readonly OccurrenceSnapshot[]
}

interface DoneOccurrence {
  readonly record: OccurrenceRecord
  readonly doneLogMs: number
}

/** When an occurrence is settled, and for how long the run numbers of done ones are kept for late reports of ends. */
export interface SettlementTime {
  readonly logTimeMs: number
  readonly retentionMs: number
}

/**
 * Occurrences of a job. Only an occurrence that has started and is not done has a record, and for a while a done one of
 * which runs are active or tasks ran more than once; otherwise a done occurrence is an index in a set.
 *
 * @example
 * const table = new OccurrenceTable(spec)
 * table.start(0)?.steps[0]?.addRun(0, run)
 */
export class OccurrenceTable {
  readonly count: number
  readonly #steps: readonly StepSpec[]
  readonly #started = new Map<number, OccurrenceRecord>()
  readonly #done: IndexSet
  /** Done occurrences with details, in the order in which they were done. */
  readonly #doneRecords = new Map<number, DoneOccurrence>()

  constructor (spec: JobSpec, snapshot?: OccurrencesSnapshot) {
    this.count = occurrenceCount(spec)
    this.#steps = spec.steps
    this.#done = new IndexSet(snapshot?.done)
    for (const occurrence of snapshot?.records ?? []) this.#restore(occurrence)
  }

  get isDone (): boolean {
    return this.#done.size >= this.count
  }

  /** An occurrence; undefined where no run of it was ever assigned. */
  at (index: number): OccurrenceRecord | undefined {
    const record = this.#started.get(index) ?? this.#doneRecords.get(index)?.record
    if (record !== undefined || !this.#done.has(index)) return record
    return { steps: this.#steps.map(step => StepRecord.done(step.taskCount)) }
  }

  /** Occurrences that have started and are not done, by index. */
  started (): Iterable<[number, OccurrenceRecord]> {
    return this.#started.entries()
  }

  /** Occurrences with tasks that have a record, by index. */
  * withRecords (): Iterable<[number, OccurrenceRecord]> {
    yield * this.#started
    for (const [index, { record }] of this.#doneRecords) yield [index, record]
  }

  /** The first occurrence from `from` on of which no run was ever assigned; the number of occurrences for none. */
  firstUnstarted (from: number): number {
    let index = this.#done.firstMissing(from)
    while (this.#started.has(index)) index = this.#done.firstMissing(index + 1)
    return Math.min(index, this.count)
  }

  /** The occurrence, whose record is created where it has none; undefined where the job has no such occurrence. */
  start (index: number): OccurrenceRecord | undefined {
    if (index >= this.count) return undefined
    const known = this.at(index)
    if (known !== undefined) return known
    const record = { steps: this.#steps.map(step => new StepRecord(step.taskCount)) }
    this.#started.set(index, record)
    return record
  }

  /** Settles an occurrence of which a task was completed, if all its tasks are done. */
  settle (index: number, time: SettlementTime): void {
    const record = this.#started.get(index)
    if (record === undefined || !record.steps.every(step => step.isDone)) return
    this.#started.delete(index)
    this.#done.add(index)
    this.#removeExpired(time)
    if (record.steps.some(step => step.hasDetails)) this.#doneRecords.set(index, { record, doneLogMs: time.logTimeMs })
  }

  /** Reduces the records to what late reports of ended runs need. */
  endJob (): void {
    for (const [, { steps }] of this.withRecords()) for (const step of steps) step.endJob()
  }

  toSnapshot (): OccurrencesSnapshot {
    const started = [...this.#started].map(([index, record]) => toSnapshot(index, record))
    const done = [...this.#doneRecords].map(([index, { record, doneLogMs }]) =>
      ({ ...toSnapshot(index, record), doneLogMs }))
    return { done: this.#done.toRanges(), records: [...started, ...done] }
  }

  #restore ({ index, steps, doneLogMs }: OccurrenceSnapshot): void {
    const record = {
      steps: this.#steps.map((step, stepIndex) => new StepRecord(step.taskCount, steps[stepIndex]))
    }
    if (doneLogMs === undefined) this.#started.set(index, record)
    else this.#doneRecords.set(index, { record, doneLogMs })
  }

  #removeExpired ({ logTimeMs, retentionMs }: SettlementTime): void {
    for (const [index, { record, doneLogMs }] of this.#doneRecords) {
      if (logTimeMs - doneLogMs <= retentionMs) return
      if (!record.steps.some(step => step.hasActiveRuns)) this.#doneRecords.delete(index)
    }
  }
}

function toSnapshot (index: number, { steps }: OccurrenceRecord): OccurrenceSnapshot {
  return { index, steps: steps.map(step => step.toSnapshot()) }
}
