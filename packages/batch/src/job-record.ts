/** Replicated records of jobs. */
import type { JobSpec, JobState } from './jobs.js'
import { restoreFullRecords, type FullOccurrence } from './full-records.js'
import { OccurrenceTable, type OccurrencesSnapshot } from './occurrence-table.js'

/** What a job was accepted with, and its state. */
interface JobFields {
  readonly spec: JobSpec
  readonly queueAddress: string
  /** Service of the queue in the latest configuration that contained the queue. */
  service: string
  readonly organisation: string
  readonly acceptedWallMs: number
  /** Log time at which the job ended, for its retention; 0 while the job is open. */
  endedLogMs: number
  state: 'open' | 'completed' | 'failed' | 'cancelled'
  /**
   * Whether the end of any of its runs has been recorded. Whether a run has only been reported as running is known to
   * the leader alone (`WorkerRegistry.hasStarted`).
   */
  hasStarted: boolean
}

/** An accepted job. */
export interface JobRecord extends JobFields {
  /** Without its payload once the job has ended. */
  spec: JobSpec
  readonly occurrences: OccurrenceTable
}

/** A job in serialisable form. */
export interface JobSnapshot extends JobFields {
  /** Absent from snapshots of older versions, which have `occurrences`. */
  readonly progress?: OccurrencesSnapshot
  /** Only in snapshots of older versions: null for an occurrence of which no run was assigned. */
  readonly occurrences?: ReadonlyArray<FullOccurrence | null>
}

/** Creates the record of an accepted job. */
export function createJobRecord (
  fields: Pick<JobRecord, 'spec' | 'queueAddress' | 'service' | 'organisation' | 'acceptedWallMs'>
): JobRecord {
  const occurrences = new OccurrenceTable(fields.spec)
  return { ...fields, endedLogMs: 0, state: 'open', hasStarted: false, occurrences }
}

/** Restores a record, also from the snapshot of an older version, which had a record of every task. */
export function restoreJobRecord (
  { progress, occurrences: fullOccurrences, ...fields }: JobSnapshot
): JobRecord {
  const snapshot = progress ?? restoreFullRecords(fullOccurrences ?? [], fields.endedLogMs)
  const occurrences = new OccurrenceTable(fields.spec, snapshot)
  const job = { ...fields, occurrences }
  if (job.state !== 'open') settleEndedJob(job)
  return job
}

export function snapshotJobRecord ({ occurrences, ...fields }: JobRecord): JobSnapshot {
  return { ...fields, progress: occurrences.toSnapshot() }
}

/** Drops what an ended job does not need any more: no run of it starts, so the payload is not sent again. */
export function settleEndedJob (job: JobRecord): void {
  job.spec = { ...job.spec, payload: '' }
  job.occurrences.endJob()
}

/**
 * State as shown to callers, except that the leader also shows an open job as running from the report of its first run.
 */
export function visibleState (job: JobRecord): JobState {
  if (job.state !== 'open') return job.state
  return job.hasStarted ? 'running' : 'queued'
}
