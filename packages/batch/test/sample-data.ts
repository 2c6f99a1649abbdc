/** Sample values for the tests of this package. */
import type { JobSpec, QueueConfiguration, QueueDocument, StepSpec, WorkerReport } from '../src/index.js'

export const HOST = 'print.example'
export const KEY = 'key-a'

/** A step of two small tasks, overridden by the given fields. */
export function step (fields: Partial<StepSpec> = {}): StepSpec {
  return {
    taskCount: 2,
    shape: { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 1 },
    estimateMs: 1_000,
    dependsOn: [],
    isCheckpointing: false,
    isGang: false,
    isSameRack: false,
    requiredLabel: '',
    dataRack: '',
    maxTasksPerWorker: 0,
    isSpeculative: false,
    isLasting: false,
    image: '',
    targetLatencyMs: 0,
    isFiller: false,
    ...fields
  }
}

export function job (jobId: string, steps: readonly StepSpec[] = [step()]): JobSpec {
  return { jobId, payload: `payload of ${jobId}`, steps }
}

export function queue (fields: Partial<QueueConfiguration> = {}): QueueConfiguration {
  return {
    name: 'normal',
    host: HOST,
    pathPrefix: '/normal/',
    service: 'billing',
    timeoutMs: 3_000,
    targetLatencyMs: 1_000,
    priority: 1,
    maxAttempts: 2,
    slackFactor: 3,
    isAnonymous: false,
    ...fields
  }
}

export function document (version = 1, queues = [queue(), queue({ name: 'urgent', pathPrefix: '/urgent/', priority: 0 })]): QueueDocument {
  return {
    version,
    queues,
    services: [{ name: 'billing', isStandby: false }],
    organisations: [{ name: 'org-a', apiKeys: [KEY], guaranteedAccelerators: 16 }],
    source: `{"version":${version}}`
  }
}

/** Report of an idle worker with 8 accelerators. */
export function report (workerId: string, fields: Partial<WorkerReport> = {}): WorkerReport {
  return {
    workerId,
    incarnation: 1_000,
    service: 'billing',
    address: `${workerId}:80`,
    vmId: `vm-${workerId}`,
    availabilityZone: 'a',
    sequence: 1,
    state: 'active',
    capacity: { cpuMillicores: 64_000, memoryMb: 262_144, acceleratorCount: 8 },
    labels: ['kind', 'r1'],
    rack: 'r1',
    clockMs: 0,
    coldRemainingMs: 0,
    running: [],
    ends: [],
    ...fields
  }
}
