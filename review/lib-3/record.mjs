/** The record of a script: what was sent, answered and run. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

/** Lines with the time since the start of the script. */
export class Record {
  #lines = []
  #startedMs = performance.now()

  constructor (folder) {
    this.path = join(folder, 'record.txt')
  }

  /** Time since the start of the script. */
  get nowMs () {
    return Math.round(performance.now() - this.#startedMs)
  }

  add (text) {
    this.#lines.push(`${(this.nowMs / 1_000).toFixed(3).padStart(8)}  ${text}`)
  }

  save () {
    writeFileSync(this.path, this.#lines.join('\n') + '\n')
  }
}

/**
 * Runs a script; its result is the exit code: 0 the rule held, 1 it was broken, 2 the case could not run. `deployments`
 * and `stoppables` are ended in any case.
 */
export async function runScript (record, body) {
  const stoppables = []
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, async () => {
      for (const stop of stoppables) await stop()
      process.exit(2)
    })
  }
  const isTroubled = process.env.TROUBLE !== '0'
  let code = 2
  record.add(isTroubled ? 'with the disruption' : 'without the disruption (TROUBLE=0)')
  try {
    const violations = await body({ isTroubled, atEnd: stop => { stoppables.unshift(stop) } })
    for (const violation of violations) record.add(`RULE BROKEN: ${violation}`)
    code = violations.length > 0 ? 1 : 0
  } catch (error) {
    record.add(`the case could not run: ${error.stack ?? error}`)
  }
  for (const stop of stoppables) await stop()
  record.add(`exit code ${code}`)
  record.save()
  process.exit(code)
}
