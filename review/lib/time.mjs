/** Pauses and the steady clock of the scripts. */

export async function pause (durationMs) {
  await new Promise(resolve => { setTimeout(resolve, durationMs) })
}

/** Steady milliseconds since the start of the script. */
export function nowMs () {
  return performance.now()
}
