/** Jobs of the protocol simulation. */
import type { JobSpec, QueueDocument, StepSpec } from '@comfreygrade/batch'
import type { ProtocolDraws } from './protocol-draws.js'
import type { ProtocolProfile } from './protocol-profile.js'

export const MAX_ATTEMPTS = 2
export const NORMAL_PATH = '/q/'
export const URGENT_PATH = '/urgent/'
export const API_KEY = 'key'

const QUEUE = {
  name: 'q',
  host: 'h',
  pathPrefix: NORMAL_PATH,
  service: 'billing',
  timeoutMs: 3_000,
  targetLatencyMs: 1_000,
  priority: 1,
  maxAttempts: MAX_ATTEMPTS,
  slackFactor: 3,
  isAnonymous: true
}

/** The configuration, with or without its queues. */
export function createDocument (version: number, hasQueues = true): QueueDocument {
  const urgent = { ...QUEUE, name: 'urgent', pathPrefix: URGENT_PATH, priority: 0 }
  return {
    version,
    queues: hasQueues ? [QUEUE, urgent] : [],
    services: [{ name: 'billing', isStandby: false }],
    organisations: [{ name: 'org', apiKeys: [API_KEY], guaranteedAccelerators: 8 }],
    source: '{}'
  }
}

/** Draws the jobs of a seed. */
export class JobDraws {
  readonly #profile: ProtocolProfile
  readonly #random: ProtocolDraws
  #jobCount = 0

  constructor (profile: ProtocolProfile, random: ProtocolDraws) {
    this.#profile = profile
    this.#random = random
  }

  /** Path of the queue of the next job. */
  nextQueuePath (): string {
    return this.#random.isDrawn(this.#profile.urgentShare) ? URGENT_PATH : NORMAL_PATH
  }

  next (): JobSpec {
    const first = this.#createStep()
    // Members of a gang that fail one by one would break the others.
    const fails = !first.isGang && this.#random.nextFloat() < 0.15
    const payload = `${this.#drawRunMs()}${fails ? '!' : ''}${this.#drawGang(first)}`
    const steps = [first]
    const hasSecond = this.#random.isDrawn(this.#profile.secondStepShare)
    if (hasSecond) steps.push({ ...this.#createStep(), isGang: false, dependsOn: [0] })
    return { jobId: `j${++this.#jobCount}`, payload, steps, ...this.#drawSchedule() }
  }

  #drawSchedule (): Pick<JobSpec, 'schedule'> {
    const { scheduledShare, occurrences } = this.#profile
    if (!this.#random.isDrawn(scheduledShare)) return {}
    return { schedule: { firstDueMs: 0, intervalMs: 1_000, occurrences: this.#random.inRange(occurrences) } }
  }

  /** The part of a payload for a gang whose members work together. */
  #drawGang ({ isGang, taskCount }: StepSpec): string {
    const { brokenGangShare } = this.#profile
    if (!isGang || brokenGangShare === 0) return ''
    return `g${taskCount}${this.#random.isDrawn(brokenGangShare) ? `b${this.#random.nextFloat().toFixed(2)}` : ''}`
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
    return this.#random.inRange(this.#random.isDrawn(longRunShare) ? longRunMs : runMs)
  }
}
