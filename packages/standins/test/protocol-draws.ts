/** Random draws of the protocol simulation. */
import { Random } from '@comfreygrade/core'
import type { Range } from './protocol-profile.js'

/** The same draws for the same seed. A share of 0 and a range of one value take none. */
export class ProtocolDraws extends Random {
  inRange ([low, high]: Range): number {
    return low === high ? low : this.nextInt(low, high)
  }

  /** Whether something of this share happens. */
  isDrawn (share: number): boolean {
    return share > 0 && this.nextFloat() < share
  }

  pick<T> (values: readonly T[]): T {
    return values[this.nextInt(0, values.length - 1)] as T
  }
}
