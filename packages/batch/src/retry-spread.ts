/** Spreads the retries of refused jobs over time. */

/**
 * A number from 0 to 1 that is spread evenly over job IDs, also where they are numbered (FNV-1a with a final mix). A
 * delay that depends on it is the same for each attempt of a job, so that retrying more often gains nothing.
 *
 * @example
 * const delayMs = earliestMs + shareOfJob('5c0e') * spreadMs
 */
export function shareOfJob (jobId: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < jobId.length; index++) hash = Math.imul(hash ^ jobId.charCodeAt(index), 0x01000193)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  return ((hash ^ (hash >>> 13)) >>> 0) / 2 ** 32
}
