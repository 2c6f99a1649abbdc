import { performance } from 'node:perf_hooks'
import type { Clock } from '@comfreygrade/core'

/** Monotonic and wall clock of the operating system. */
export class SystemClock implements Clock {
  monotonicMs (): number {
    return performance.now()
  }

  wallMs (): number {
    return Date.now()
  }
}
