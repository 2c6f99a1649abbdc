/** Tells errors of the program itself from those of the services that it calls. */

/** Errors of the language, which a function of Node.js also throws for an argument that it does not take. */
const PROGRAM_ERRORS = [TypeError, RangeError, ReferenceError]
/** Codes of libraries for an argument that they do not take. */
const ARGUMENT_ERROR_CODES: ReadonlySet<unknown> = new Set([
  'UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED', 'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH'
])

/**
 * Whether a call failed because the program could not make it, whatever the state of the service. Such an error recurs
 * at each attempt, so it must not be taken for a failure of the service.
 *
 * @example
 * isProgramError(new RangeError('out of range')) // true
 * isProgramError(Object.assign(new Error('connect'), { code: 'ECONNREFUSED' })) // false
 */
export function isProgramError (error: unknown): boolean {
  if (PROGRAM_ERRORS.some(type => error instanceof type)) return true
  return error instanceof Error && 'code' in error && ARGUMENT_ERROR_CODES.has(error.code)
}
