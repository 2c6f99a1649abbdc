/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import { Record } from './record.mjs'

/** A condition that the case needs was not met, so that it says nothing about the rule. */
export class CannotRun extends Error {}

/** Throws {@link CannotRun} unless the condition holds. */
export function need (condition, what) {
  if (!condition) throw new CannotRun(what)
}

/** Most time that a case may take. */
const LIMIT_MS = 116_000

/**
 * `play` gets the record, whether to cause the disruption, and a function that registers what to close at the end; it
 * resolves to what broke the rule, or to undefined if the rule held.
 */
export async function runCase (recordPath, play) {
  const record = new Record(recordPath)
  const isTroubled = process.env.TROUBLE !== '0'
  const closers = []
  let exitCode = 2
  const finish = async () => {
    for (const close of closers.reverse()) await close()
    record.write()
    process.exit(exitCode)
  }
  const timer = setTimeout(() => {
    record.add('result', { result: 'not run', reason: 'time limit' })
    finish()
  }, LIMIT_MS)
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, finish)
  try {
    record.add('case', { trouble: isTroubled })
    const breach = await play({ record, isTroubled, onEnd: close => { closers.push(close) } })
    exitCode = breach === undefined ? 0 : 1
    record.add('result', breach === undefined ? { result: 'held' } : { result: 'broken', breach })
    console.log(breach === undefined ? 'the rule held' : `the rule was broken: ${breach}`)
  } catch (error) {
    record.add('result', { result: 'not run', reason: String(error?.stack ?? error) })
    console.log(`the case could not run: ${error}`)
  }
  clearTimeout(timer)
  await finish()
}
