/** What the events of runners show. */

/** The longest time between two moments in which no runner had a run. */
export function longestIdleMs (events, fromMs, toMs) {
  let running = 0
  let idleSinceMs = 0
  let longestMs = 0
  for (const { kind, how, atMs } of events) {
    if (kind === 'start' && running++ === 0) longestMs = Math.max(longestMs, atMs - Math.max(fromMs, idleSinceMs))
    if (kind === 'end' && how !== 'refused' && --running === 0) idleSinceMs = atMs
  }
  return running > 0 ? longestMs : Math.max(longestMs, toMs - Math.max(fromMs, idleSinceMs))
}
