/** Load patterns of the batch scheduler: a fleet, the jobs that arrive, and what disturbs their heartbeats. */
import {
  defaultDemand, defaultFleetShape, defaultJobKinds, type Demand, type FleetShape, type JobKind, type LoadPeak
} from './batch-load.js'

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
  readonly fleet: FleetShape
  readonly demand: Demand
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
const DEFAULT_CONDITIONS = { fleet: defaultFleetShape, demand: defaultDemand, cuts: [], losses: [] }
const SMALL_FLEET = { ...DEFAULT_CONDITIONS, workers: 33, kinds: defaultJobKinds, network: FAST_NETWORK }

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

const LARGE_FLEET = { ...DEFAULT_CONDITIONS, workers: 378, kinds: largeFleetKinds, network: REGIONAL_NETWORK }
const URGENT_PEAK: LoadPeak = { kindName: 'urgent gang', fromMs: 8_000, toMs: 14_000, factor: 2.4 }
const WIDE_PEAK: LoadPeak = { kindName: 'wide step', fromMs: 9_000, toMs: 12_300, factor: 2.4 }

/** What distinguishes the job kinds of the two deployments; see `docs/hard-load.md`. */
interface DeploymentRates {
  readonly urgent: Pick<JobKind, 'arrivalsPerSecond' | 'meanRunMs'>
  readonly normal: Pick<JobKind, 'arrivalsPerSecond' | 'meanRunMs'>
  readonly bulk: Pick<JobKind, 'arrivalsPerSecond' | 'meanRunMs'>
}

function deploymentKinds ({ urgent, normal, bulk }: DeploymentRates): JobKind[] {
  return defaultJobKinds.map(kind => {
    switch (kind.name) {
      case 'large gang':
        return {
          ...kind,
          ...normal,
          estimateLogRange: 0.5,
          meanTasks: 13,
          maxTasks: 76,
          shape: { cpuMillicores: 52_000, memoryMb: 200_000 },
          initialJobs: 8
        }
      case 'urgent gang':
        return {
          ...kind,
          ...urgent,
          estimateLogRange: 0.2,
          meanTasks: 5,
          maxTasks: 32,
          shape: { cpuMillicores: 15_000, memoryMb: 44_000 }
        }
      default:
        return {
          ...kind,
          ...bulk,
          estimateLogRange: 0.9,
          meanTasks: 39,
          maxTasks: 230,
          secondStepShare: 0.3,
          shape: { cpuMillicores: 11_000, memoryMb: 32_000 },
          initialJobs: 12
        }
    }
  })
}

/** Workers of a deployment that loses or withholds none of them. */
const DEPLOYMENT_WORKERS = 246
/** Share of the workers that the load has at a time; the others are under maintenance, reserved or lost. */
const AVAILABLE_WORKERS_SHARE = 0.7
const DEPLOYMENT = {
  ...DEFAULT_CONDITIONS,
  workers: Math.round(DEPLOYMENT_WORKERS * AVAILABLE_WORKERS_SHARE),
  network: REGIONAL_NETWORK
}
const DEPLOYMENT_FLEET: Omit<FleetShape, 'workerSpeeds'> = {
  workerCapacity: { cpuMillicores: 128_000, memoryMb: 524_288, acceleratorCount: 8 },
  workersPerRack: 12,
  zones: 6
}
const DEPLOYMENT_DEMAND: Demand = {
  organisations: 10,
  demandRatio: 0.7,
  waves: { zones: 6, periodMs: 11_000, peakMs: 3_500, peakFactor: 2.2 }
}
const DEPLOYMENT_A = {
  ...DEPLOYMENT,
  fleet: { ...DEPLOYMENT_FLEET, workerSpeeds: [1, 1, 1.3] },
  demand: DEPLOYMENT_DEMAND,
  kinds: deploymentKinds({
    urgent: { arrivalsPerSecond: 4.2, meanRunMs: 2_500 },
    normal: { arrivalsPerSecond: 1.55, meanRunMs: 6_800 },
    bulk: { arrivalsPerSecond: 0.97, meanRunMs: 9_500 }
  })
}
const DEPLOYMENT_B = {
  ...DEPLOYMENT,
  fleet: { ...DEPLOYMENT_FLEET, workerSpeeds: [0.55, 1.2, 1.2, 1.2] },
  demand: DEPLOYMENT_DEMAND,
  kinds: deploymentKinds({
    urgent: { arrivalsPerSecond: 6.8, meanRunMs: 2_100 },
    normal: { arrivalsPerSecond: 1.6, meanRunMs: 5_800 },
    bulk: { arrivalsPerSecond: 1, meanRunMs: 8_100 }
  })
}
const DEPLOYMENT_PEAKS: readonly LoadPeak[] = [
  { kindName: 'urgent gang', fromMs: 8_000, toMs: 11_500, factor: 2.4 },
  { kindName: 'large gang', fromMs: 15_000, toMs: 18_500, factor: 1.9 },
  { kindName: 'wide step', fromMs: 22_000, toMs: 25_500, factor: 1.9 }
]

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
  { ...LARGE_FLEET, name: 'large fleet, workers lost', peaks: [], loadFactor: 1, losses: [{ share: 0.1, atMs: 10_000 }] },
  { ...DEPLOYMENT_A, name: 'deployment A', peaks: [], loadFactor: 0.7 },
  { ...DEPLOYMENT_A, name: 'deployment A, crests', peaks: DEPLOYMENT_PEAKS, loadFactor: 0.8 },
  { ...DEPLOYMENT_B, name: 'deployment B', peaks: [], loadFactor: 0.43 },
  { ...DEPLOYMENT_B, name: 'deployment B, crests', peaks: DEPLOYMENT_PEAKS, loadFactor: 0.45 }
]
