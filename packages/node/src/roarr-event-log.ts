import './roarr-environment.js'
import { ROARR, Roarr, type Logger } from 'roarr'
import { EventLog } from '@comfreygrade/core'

type LogFields = Readonly<Record<string, unknown>>

/** Writes log lines as JSON to standard error through `roarr`. */
export class RoarrEventLog extends EventLog {
  readonly #logger: Logger

  constructor (nodeId: string) {
    super()
    // Standard output is reserved for the `ready` line, which a supervisor parses.
    ROARR.write = line => { process.stderr.write(`${line}\n`) }
    this.#logger = Roarr.child({ application: 'comfreygrade', nodeId })
  }

  override info (message: string, fields: LogFields = {}): void {
    this.#logger.info(toJsonFields(fields), message)
  }

  override warn (message: string, fields: LogFields = {}): void {
    this.#logger.warn(toJsonFields(fields), message)
  }
}

function toJsonFields (fields: LogFields): Record<string, never> {
  return JSON.parse(JSON.stringify(fields)) as Record<string, never>
}
