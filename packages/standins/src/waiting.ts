/** Repeats an asynchronous question until it is answered. */
import { setTimeout as delay } from 'node:timers/promises'

/** Interval between two questions. */
const ASK_INTERVAL_MS = 100

/**
 * Asks until the answer is not undefined; the last error or the limit is reported where none comes within `limitMs`.
 *
 * @example
 * await waitFor('every worker to be active', 20_000, async () => (await allActive()) ? true : undefined)
 */
export async function waitFor<T> (what: string, limitMs: number, ask: () => Promise<T | undefined>): Promise<T> {
  const endsMs = performance.now() + limitMs
  let lastError = ''
  while (performance.now() < endsMs) {
    try {
      const answer = await ask()
      if (answer !== undefined) return answer
      lastError = ''
    } catch (error) {
      lastError = `: ${String(error)}`
    }
    await delay(ASK_INTERVAL_MS)
  }
  throw new Error(`waited ${limitMs} ms for ${what}${lastError}`)
}
