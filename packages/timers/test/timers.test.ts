import test from 'ava'
import fc from 'fast-check'
import { MAX_DELAY_MS, pause, startInterval, startTimer, timeoutSignal, toDelayMs } from '../src/index.js'

const SEED = 54
/** Longer than a timer that Node.js shortens to 1 ms takes. */
const OBSERVED_MS = 60

const oddDuration = fc.oneof(
  fc.double({ noNaN: true }),
  fc.constantFrom(0, -0, -1, 0.1, 2_510.2, MAX_DELAY_MS, MAX_DELAY_MS + 0.5, 2 ** 31, 2 ** 32 + 1, 1e12, Infinity)
)

async function observe (): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, OBSERVED_MS) })
}

// Guards against a call that is not made since its time limit is refused as an argument.
test('every duration gives a delay that Node.js takes, and that does not end before it', t => {
  fc.assert(fc.property(oddDuration, durationMs => {
    const delayMs = toDelayMs(durationMs)
    t.true(Number.isInteger(delayMs) && delayMs >= 0 && delayMs <= MAX_DELAY_MS)
    t.true(delayMs >= Math.min(durationMs, MAX_DELAY_MS))
    t.false(timeoutSignal(durationMs).aborted)
  }), { seed: SEED })
  t.throws(() => toDelayMs(NaN), { instanceOf: RangeError })
})

// Guards against time limits of more than 24 days that end after 1 ms.
test('timers, intervals and signals of very long durations do not end at once', async t => {
  const due: string[] = []
  for (const durationMs of [2 ** 31, 3e9, 2 ** 32 + 1, 1e12, Infinity]) {
    const timers = [
      startTimer(durationMs, () => { due.push(`timer ${durationMs}`) }),
      startInterval(durationMs, () => { due.push(`interval ${durationMs}`) })
    ]
    const signal = timeoutSignal(durationMs)
    await observe()
    if (signal.aborted) due.push(`signal ${durationMs}`)
    for (const timer of timers) clearTimeout(timer)
  }
  t.deepEqual(due, [])
})

test('timers, pauses and signals end after a fraction of a millisecond or a negative duration', async t => {
  for (const durationMs of [0.3, -5, 0]) {
    const signal = timeoutSignal(durationMs)
    await pause(durationMs)
    await observe()
    t.true(signal.aborted)
  }
})
