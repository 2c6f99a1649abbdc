/** Polls for a condition, in demos and tests. */
import { pause } from '@comfreygrade/timers'

const POLL_INTERVAL_MS = 100

/**
 * Calls `poll` until it returns a value other than undefined. Errors of `poll` are retried too. No call starts after
 * `timeoutMs`; the promise then rejects, with the error of the last call in its message if that call failed.
 *
 * @example
 * await waitFor('every worker to be active', 20_000, async () => (await allActive()) ? true : undefined)
 */
export async function waitFor<T> (
  condition: string, timeoutMs: number, poll: () => Promise<T | undefined>
): Promise<T> {
  const deadlineMs = performance.now() + timeoutMs
  let lastErrorText = ''
  while (performance.now() < deadlineMs) {
    try {
      const result = await poll()
      if (result !== undefined) return result
      lastErrorText = ''
    } catch (error) {
      lastErrorText = `: ${String(error)}`
    }
    await pause(POLL_INTERVAL_MS)
  }
  throw new Error(`timed out after ${timeoutMs} ms waiting for ${condition}${lastErrorText}`)
}
