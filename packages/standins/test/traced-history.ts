/** Observations of the workers in the trace of a simulation. */
import type { RunEnd } from '@comfreygrade/batch'
import { RunHistory } from '../src/index.js'
import type { ProtocolTrace } from './protocol-trace.js'

/** Adds starts and ends, with the violations that they show, to a trace. */
export class TracedHistory extends RunHistory {
  readonly #trace: ProtocolTrace

  constructor (maxAttempts: number, trace: ProtocolTrace) {
    super(maxAttempts)
    this.#trace = trace
  }

  override recordRunStarted (taskKey: string, workerId: string): void {
    const knownCount = this.violations.length
    super.recordRunStarted(taskKey, workerId)
    this.#trace.add('starts', { taskKey, workerId })
    for (const violation of this.violations.slice(knownCount)) this.#trace.add(`VIOLATION ${violation}`)
  }

  override recordRunEnded (end: Pick<RunEnd, 'taskKey' | 'run' | 'reason'>, workerId: string): void {
    super.recordRunEnded(end, workerId)
    this.#trace.add('ends', { ...end, workerId })
  }
}
