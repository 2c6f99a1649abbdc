import { performance } from 'node:perf_hooks'
import type { Clock } from '@comfreygrade/core'

/**
 * The clock of this process. All stand-ins in a process share its monotonic origin, so their times are comparable.
 *
 * @example
 * const sentAtMs = new SystemClock().monotonicMs()
 */
export class SystemClock implements Clock {
  monotonicMs (): number {
    return performance.now()
  }

  wallMs (): number {
    return Date.now()
  }
}
