/** Errors of calls to a node. */
import { type ErrorBody, errorTable } from '@comfreygrade/core'

/** Why a call failed. */
export type ClientProblem =
  | { readonly kind: 'refused', readonly status: number, readonly body: ErrorBody }
  /** No node responded; `maybe_sent` means that a node may have executed the call. */
  | { readonly kind: 'unreachable', readonly progress: 'not_sent' | 'maybe_sent', readonly detail: string }
  /** A response that a node never sends, for example from another server on the same port. */
  | { readonly kind: 'unexpected', readonly status: number, readonly detail: string }

/**
 * Thrown when a call to the API fails; `problem` says why.
 *
 * @example
 * if (error instanceof ClientError && error.problem.kind === 'refused') console.log(error.problem.body.error)
 */
export class ClientError extends Error {
  readonly problem: ClientProblem

  constructor (problem: ClientProblem) {
    super(describeProblem(problem))
    this.problem = problem
  }
}

/** Describes why a call failed, in one line. */
export function describeProblem (problem: ClientProblem): string {
  switch (problem.kind) {
    case 'refused': return describeRefusal(problem.body)
    case 'unexpected': return `unexpected response with status ${problem.status}: ${problem.detail}`
    case 'unreachable':
      return problem.progress === 'not_sent'
        ? `no node could be reached: ${problem.detail}`
        : `no response received, the request may have been executed: ${problem.detail}`
  }
}

/**
 * Parses the error body of a node.
 *
 * @returns undefined when the text is not such a body
 */
export function parseErrorBody (text: string): ErrorBody | undefined {
  try {
    const body = JSON.parse(text) as Partial<ErrorBody> | null
    const isErrorBody = body !== null && typeof body === 'object' && typeof body.error === 'string' &&
      Object.hasOwn(errorTable, body.error) && typeof body.outcome === 'string' && typeof body.repeat === 'string'
    return isErrorBody ? body as ErrorBody : undefined
  } catch {
    return undefined
  }
}

function describeRefusal ({ error, detail, outcome, repeat, retryAfterMs }: ErrorBody): string {
  const advice = repeat === 'later' ? `repeat after ${retryAfterMs} ms` : `repeat: ${repeat}`
  return `${error}: ${detail} (outcome: ${outcome}, ${advice})`
}
