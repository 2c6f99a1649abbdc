/** Exit codes of the command line. */
import type { ErrorKind } from '@comfreygrade/core'
import type { ClientProblem } from './client-error.js'

/**
 * Why the process exits. `refused` also stands for other failures: an unexpected response, an error status of a backend
 * server and a watched job that did not complete. `unreachable` means that no node responded; after a timeout or a lost
 * response (`progress: 'maybe_sent'`), a node may still have executed the call.
 */
export type ExitReason = 'done' | 'refused' | 'usage' | 'conflict' | 'unreachable'

export const exitCodes: Readonly<Record<ExitReason, number>> = {
  done: 0, refused: 1, usage: 2, conflict: 3, unreachable: 4
}

/** Errors that mean that the state at the node is not the one that the command assumed. */
const CONFLICT_ERRORS: ReadonlySet<ErrorKind> = new Set<ErrorKind>(['version_conflict', 'version_gap', 'job_exists'])

/**
 * Maps a failed call to an exit reason.
 *
 * @example
 * exitReasonOf({ kind: 'unreachable', progress: 'not_sent', detail: '' }) // 'unreachable'
 */
export function exitReasonOf (problem: ClientProblem): ExitReason {
  switch (problem.kind) {
    case 'unreachable': return 'unreachable'
    case 'unexpected': return 'refused'
    case 'refused': return CONFLICT_ERRORS.has(problem.body.error) ? 'conflict' : 'refused'
  }
}
