/** Jobs of the protocol simulation. */
import type { Random } from '@comfreygrade/core'
import type { JobSpec, StepSpec } from '@comfreygrade/batch'
import type { ProtocolProfile, Range } from './protocol-profile.js'

/** Draws the jobs of a seed. */
export class JobDraws {
  readonly #profile: ProtocolProfile
  readonly #random: Random
  #jobCount = 0

  constructor (profile: ProtocolProfile, random: Random) {
    this.#profile = profile
    this.#random = random
  }

  next (): JobSpec {
    const first = this.#createStep()
    // Members of a gang that fail one by one would break the others, which the workers of this simulation do not play.
    const fails = !first.isGang && this.#random.nextFloat() < 0.15
    const payload = `${this.#drawRunMs()}${fails ? '!' : ''}`
    const steps = [first]
    const hasSecond = this.#isDrawn(this.#profile.secondStepShare)
    if (hasSecond) steps.push({ ...this.#createStep(), isGang: false, dependsOn: [0] })
    return { jobId: `j${++this.#jobCount}`, payload, steps }
  }

  #createStep (): StepSpec {
    return {
      taskCount: this.#random.nextInt(1, 3),
      shape: { cpuMillicores: 1_000, memoryMb: 100, acceleratorCount: 1 },
      estimateMs: 500,
      dependsOn: [],
      isCheckpointing: false,
      isGang: this.#random.nextFloat() < 0.2,
      isSameRack: false,
      requiredLabel: '',
      dataRack: '',
      maxTasksPerWorker: 0,
      isSpeculative: false,
      isLasting: false,
      image: '',
      targetLatencyMs: 0,
      isFiller: false
    }
  }

  #drawRunMs (): number {
    const { runMs, longRunMs, longRunShare } = this.#profile
    return this.#drawIn(this.#isDrawn(longRunShare) ? longRunMs : runMs)
  }

  #drawIn ([low, high]: Range): number {
    return this.#random.nextInt(low, high)
  }

  #isDrawn (share: number): boolean {
    return share > 0 && this.#random.nextFloat() < share
  }
}
