/** Constructors for the results of commands. */
import { type ErrorKind, failure } from '@comfreygrade/core'
import type { CommandResult } from './commands.js'

/** Result of a command that took effect, or whose effect was already in place. */
export const done: CommandResult = { kind: 'done' }

/**
 * Creates the result of a command whose precondition does not hold.
 *
 * @example
 * refuse('not_found', 'job j1 does not exist')
 */
export function refuse (kind: ErrorKind, detail: string): CommandResult {
  return { kind: 'refused', failure: failure(kind, detail) }
}
