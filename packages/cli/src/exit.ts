/** How a command ends. */
import type { ErrorKind } from '@comfreygrade/core'
import type { ClientProblem } from './client-error.js'

/** Why the process ends. */
export type ExitReason = 'done' | 'refused' | 'usage' | 'conflict' | 'unreachable'

/** Exit code of the process for each reason. */
export const exitCodes: Readonly<Record<ExitReason, number>> = {
  done: 0, refused: 1, usage: 2, conflict: 3, unreachable: 4
}

/** Refusals because somebody else was first. */
const CONFLICT_ERRORS: ReadonlySet<ErrorKind> = new Set<ErrorKind>(['version_conflict', 'version_gap', 'job_exists'])

/**
 * Gives the reason to end for a failed call.
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
