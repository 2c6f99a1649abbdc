/** Load patterns of the batch scheduler: a fleet, the jobs that arrive, and what disturbs their heartbeats. */
import { defaultJobKinds, type JobKind, type LoadPeak } from './batch-load.js'

/** Heartbeats of the workers on their way to the leader. */
export interface HeartbeatNetwork {
  /** Longest one-way delay; the delay of a worker is fixed and uniform up to this. */
  readonly maxDelayMs: number
  /** Share of the heartbeats that arrive after their worker has given them up. */
  readonly lateShare: number
}

/** Workers whose heartbeats and answers are lost for a while. */
export interface WorkerCut {
  readonly share: number
  readonly fromMs: number
  readonly toMs: number
}

/** Workers that crash and do not come back. */
export interface WorkerLoss {
  readonly share: number
  readonly atMs: number
}

/** A load with its fleet. The names are row names of the table and stay, so that results can be compared. */
export interface LoadPattern {
  readonly name: string
  readonly workers: number
  readonly kinds: readonly JobKind[]
  readonly peaks: readonly LoadPeak[]
  /** Multiplies the arrival rates of all job kinds. */
  readonly loadFactor: number
  readonly network: HeartbeatNetwork
  readonly cuts: readonly WorkerCut[]
  readonly losses: readonly WorkerLoss[]
}

const FAST_NETWORK: HeartbeatNetwork = { maxDelayMs: 0, lateShare: 0 }
const REGIONAL_NETWORK: HeartbeatNetwork = { maxDelayMs: 13, lateShare: 0.1 }
const SMALL_FLEET = { workers: 33, kinds: defaultJobKinds, network: FAST_NETWORK, cuts: [], losses: [] }

/** Job kinds of a fleet of several hundred workers: wider gangs, of which one task needs over half of a worker. */
const largeFleetKinds: readonly JobKind[] = defaultJobKinds.map(kind => {
  switch (kind.name) {
    case 'large gang':
      return {
        ...kind,
        arrivalsPerSecond: 2.64,
        meanTasks: 13,
        maxTasks: 76,
        estimateLogRange: 0.5,
        initialJobs: 14,
        lateValue: 0.3
      }
    case 'urgent gang':
      return {
        ...kind,
        arrivalsPerSecond: 6.76,
        meanTasks: 5.3,
        maxTasks: 32,
        estimateLogRange: 0.2,
        shape: { cpuMillicores: 7_500, memoryMb: 31_000 }
      }
    default:
      return {
        ...kind,
        arrivalsPerSecond: 2,
        meanTasks: 38,
        maxTasks: 230,
        estimateLogRange: 0.2,
        shape: { cpuMillicores: 5_600, memoryMb: 16_000 },
        initialJobs: 27,
        lateValue: 0.1
      }
  }
})

const LARGE_FLEET = { workers: 378, kinds: largeFleetKinds, network: REGIONAL_NETWORK, cuts: [], losses: [] }
const URGENT_PEAK: LoadPeak = { kindName: 'urgent gang', fromMs: 8_000, toMs: 14_000, factor: 2.4 }
const WIDE_PEAK: LoadPeak = { kindName: 'wide step', fromMs: 9_000, toMs: 12_300, factor: 2.4 }

/** In the names, a "crest" is a peak. */
export const loadPatterns: readonly LoadPattern[] = [
  { ...SMALL_FLEET, name: 'calm', peaks: [], loadFactor: 0.8 },
  { ...SMALL_FLEET, name: 'crest of urgent gangs', peaks: [URGENT_PEAK], loadFactor: 1.2 },
  {
    ...SMALL_FLEET,
    name: 'crest of large gangs',
    peaks: [{ kindName: 'large gang', fromMs: 8_000, toMs: 13_000, factor: 2.4 }],
    loadFactor: 1.2
  },
  { ...SMALL_FLEET, name: 'overload', peaks: [URGENT_PEAK], loadFactor: 1.7 },
  { ...LARGE_FLEET, name: 'large fleet', peaks: [], loadFactor: 1 },
  { ...LARGE_FLEET, name: 'large fleet, crests', peaks: [URGENT_PEAK, WIDE_PEAK], loadFactor: 1.2 },
  {
    ...LARGE_FLEET,
    name: 'large fleet, workers cut off',
    peaks: [URGENT_PEAK, WIDE_PEAK],
    loadFactor: 1.2,
    cuts: [{ share: 0.2, fromMs: 11_000, toMs: 15_500 }]
  },
  { ...LARGE_FLEET, name: 'large fleet, workers lost', peaks: [], loadFactor: 1, losses: [{ share: 0.1, atMs: 10_000 }] }
]
