/** What can go wrong between a client and a node. */
import { type ErrorBody, errorTable } from '@comfreygrade/core'

/** Why a call has no answer to show. */
export type ClientProblem =
  | { readonly kind: 'refused', readonly status: number, readonly body: ErrorBody }
  /** No node could be reached; `maybe_sent` means that a node may have done what was asked. */
  | { readonly kind: 'unreachable', readonly progress: 'not_sent' | 'maybe_sent', readonly detail: string }
  /** An answer that no node gives, for example of another server on the same port. */
  | { readonly kind: 'unexpected', readonly status: number, readonly detail: string }

/**
 * Carries a {@link ClientProblem}.
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

/** Gives a problem as one sentence for people. */
export function describeProblem (problem: ClientProblem): string {
  switch (problem.kind) {
    case 'refused': return describeRefusal(problem.body)
    case 'unexpected': return `unexpected answer with status ${problem.status}: ${problem.detail}`
    case 'unreachable':
      return problem.progress === 'not_sent'
        ? `no node could be reached: ${problem.detail}`
        : `no answer arrived, the request may have been carried out: ${problem.detail}`
  }
}

/**
 * Reads the body of a refusal.
 *
 * @returns undefined where the text is not an error body of a node
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
