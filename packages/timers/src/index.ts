/**
 * Timers, pauses and abort signals for any duration. The functions of Node.js take only some: a signal throws for a
 * fraction or a negative number, and a timer of more than {@link MAX_DELAY_MS} fires after 1 ms. Durations come from
 * configurations, settings and arithmetic, so no other module calls these functions, which the linter checks.
 */

/** Longest delay of a timer of Node.js, some 24 days. Longer durations end after this time. */
export const MAX_DELAY_MS = 2_147_483_647

/**
 * Delay that a timer of Node.js takes for a duration: whole, so that it fires no earlier, and within its bounds.
 *
 * @throws RangeError for NaN, which is no duration
 *
 * @example
 * toDelayMs(2_510.2) // 2511
 * toDelayMs(-5) // 0
 */
export function toDelayMs (durationMs: number): number {
  if (Number.isNaN(durationMs)) throw new RangeError('a duration must be a number')
  return Math.min(MAX_DELAY_MS, Math.max(0, Math.ceil(durationMs)))
}

/**
 * Calls a function once; `clearTimeout` cancels the timer.
 *
 * @example
 * const timer = startTimer(300, () => { server.close() })
 */
export function startTimer (durationMs: number, onDue: () => void): NodeJS.Timeout {
  return setTimeout(onDue, toDelayMs(durationMs))
}

/**
 * Calls a function again and again; `clearInterval` ends that.
 *
 * @example
 * const timer = startInterval(1_000, () => { sendHeartbeat() })
 */
export function startInterval (intervalMs: number, onDue: () => void): NodeJS.Timeout {
  return setInterval(onDue, toDelayMs(intervalMs))
}

/**
 * Resolves after a duration.
 *
 * @example
 * await pause(50)
 */
export async function pause (durationMs: number): Promise<void> {
  await new Promise<void>(resolve => { startTimer(durationMs, resolve) })
}

/**
 * A signal that aborts after a duration. It does not keep the process alive.
 *
 * @example
 * await fetch(url, { signal: timeoutSignal(2_510.2) })
 */
export function timeoutSignal (durationMs: number): AbortSignal {
  return AbortSignal.timeout(toDelayMs(durationMs))
}
