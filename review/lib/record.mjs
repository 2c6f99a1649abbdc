/** The record of a case: what was sent, answered and run, one line each, with the time since the start. */
import { writeFileSync } from 'node:fs'
import { nowMs } from './time.mjs'

/** Keeps the lines in memory and writes them at the end. */
export class Record {
  #lines = []
  #path

  constructor (path) {
    this.#path = path
  }

  add (event, details = {}) {
    this.#lines.push(`${(nowMs() / 1_000).toFixed(3).padStart(8)} ${event} ${JSON.stringify(details)}`)
  }

  write () {
    writeFileSync(this.#path, `${this.#lines.join('\n')}\n`)
  }
}
