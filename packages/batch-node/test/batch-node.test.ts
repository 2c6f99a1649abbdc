import { setTimeout as pause } from 'node:timers/promises'
import test from 'ava'
import type { BatchOperation, QueueDocument } from '@comfreygrade/batch'
import type { BatchNode, VersionedClientLimits } from '../src/index.js'
import { Cluster } from './cluster.js'

const HOST = 'print.example'
const API_KEY = 'k'

const queueDocument: QueueDocument = {
  version: 3,
  queues: [{
    name: 'q',
    host: HOST,
    pathPrefix: '/q/',
    service: 's',
    timeoutMs: 3_000,
    targetLatencyMs: 0,
    priority: 1,
    maxAttempts: 2,
    slackFactor: 2,
    isAnonymous: false
  }],
  services: [{ name: 's', isStandby: false }],
  organisations: [{ name: 'o', apiKeys: [API_KEY], guaranteedAccelerators: 0 }],
  source: '{"version":3}'
}
const putConfiguration: BatchOperation = { kind: 'put_configuration', document: queueDocument }
const getConfiguration: BatchOperation = { kind: 'get_configuration' }

function submitJob (jobId: string): BatchOperation {
  const shape = { cpuMillicores: 1, memoryMb: 1, acceleratorCount: 0 }
  const steps = [{
    taskCount: 1,
    shape,
    estimateMs: 1,
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
    isFiller: false
  }]
  return { kind: 'submit', request: { host: HOST, path: `/q/${jobId}`, apiKey: API_KEY }, spec: { payload: '', steps } }
}

function jobState (jobId: string): BatchOperation {
  return { kind: 'job_state', request: { host: HOST, path: `/q/${jobId}`, apiKey: API_KEY } }
}

async function startCluster (t: { teardown: (end: () => Promise<void>) => void }) {
  const cluster = await Cluster.create()
  t.teardown(async () => { await cluster.close() })
  await Promise.all(['c', 'a', 'b'].map(async nodeId => await cluster.startControl(nodeId, true)))
  const frontend = await cluster.startFrontend('entry')
  await cluster.executeUntil(frontend, putConfiguration)
  return { cluster, frontend }
}

test.serial('a job is accepted and read through a frontend that knows only the seeds', async t => {
  const { cluster, frontend } = await startCluster(t)
  await cluster.executeUntil(frontend, submitJob('j1'))
  t.like(await frontend.execute(jobState('j1'), 1_000), { value: { state: 'queued' } })
  t.like(await frontend.execute(getConfiguration, 1_000), { value: { source: queueDocument.source } })
})

// Guards against a frontend that keeps to other limits of clients' requests than the configuration in force states.
test.serial('a frontend is told the limits of the configuration in force, and those of a newer one', async t => {
  const { cluster, frontend } = await startCluster(t)
  const received: VersionedClientLimits[] = []
  await cluster.startFrontend('entry-2', limits => { received.push(limits) })
  const document = { ...queueDocument, version: 4, clientLimits: { maxBodyBytes: 262_144 } }
  await cluster.executeUntil(frontend, { kind: 'put_configuration', document })
  const deadlineMs = performance.now() + 15_000
  while (received.at(-1)?.version !== 4 && performance.now() < deadlineMs) await pause(50)
  t.like(received.at(-1), { version: 4, maxBodyBytes: 262_144 })
  t.deepEqual(received.map(({ version }) => version), [...received.map(({ version }) => version)].sort())
})

test.serial('an accepted job survives a restart of all control nodes', async t => {
  const { cluster, frontend } = await startCluster(t)
  await cluster.executeUntil(frontend, submitJob('j1'))
  for (const nodeId of ['a', 'b', 'c']) await cluster.stop(nodeId)
  for (const nodeId of ['b', 'c', 'a']) await cluster.startControl(nodeId)
  t.like(await cluster.executeUntil(frontend, jobState('j1')), { value: { state: 'queued' } })
})

test.serial('a control node that lost its disk rejoins as a voter, after which another one may fail', async t => {
  const { cluster, frontend } = await startCluster(t)
  await cluster.executeUntil(frontend, submitJob('j1'))
  await cluster.stop('b')
  await cluster.eraseDisk('b')
  await cluster.startControl('b')
  await cluster.waitForVoter(voter => voter.nodeId === 'b' && voter.diskId !== 'first')
  await cluster.stop('c')
  t.like(await cluster.executeUntil(frontend, jobState('j1')), { value: { state: 'queued' } })
  await cluster.executeUntil(frontend, submitJob('j2'))
})

test.serial('a new control node replaces a voter that has stopped', async t => {
  const { cluster, frontend } = await startCluster(t)
  await cluster.executeUntil(frontend, submitJob('j1'))
  await cluster.startControl('d')
  await cluster.stop('a')
  await cluster.waitForVoter(voter => voter.nodeId === 'd')
  await cluster.stop('b')
  t.like(await cluster.executeUntil(frontend, jobState('j1')), { value: { state: 'queued' } })
})

test.serial('a minority of the control nodes eventually answers a submission with control_unavailable', async t => {
  const { cluster, frontend } = await startCluster(t)
  await cluster.stop('a')
  await cluster.stop('b')
  const rejected = await cluster.executeUntil(frontend, submitJob('j2'), result =>
    !result.ok && result.failure.kind === 'control_unavailable')
  t.false(rejected.ok)
})

const startEvacuation: BatchOperation = { kind: 'start_evacuation', zone: 'z1', requestedBy: '10.0.0.7' }
const endEvacuation: BatchOperation = { kind: 'end_evacuation', zone: 'z1', requestedBy: '10.0.0.7' }

async function listsEvacuation (cluster: Cluster, frontend: BatchNode): Promise<boolean> {
  const result = await cluster.executeUntil(frontend, { kind: 'list_evacuations' })
  return result.ok && result.value.kind === 'evacuations' &&
    result.value.evacuations.some(({ zone, endedWallMs }) => zone === 'z1' && endedWallMs === undefined)
}

test.serial('an acknowledged evacuation survives the loss of the leader, a restart of all and the loss of a disk', async t => {
  const { cluster, frontend } = await startCluster(t)
  await cluster.executeUntil(frontend, startEvacuation)
  await cluster.stop(cluster.leaderNodeId())
  t.true(await listsEvacuation(cluster, frontend))
  for (const nodeId of ['a', 'b', 'c']) await cluster.stop(nodeId)
  await cluster.eraseDisk('b')
  for (const nodeId of ['b', 'c', 'a']) await cluster.startControl(nodeId)
  t.true(await listsEvacuation(cluster, frontend))
  await cluster.executeUntil(frontend, endEvacuation)
  t.false(await listsEvacuation(cluster, frontend))
})

// The operators retry their calls at any control node, so the outcome is the same from each of them.
test.serial('a request repeated at another node after the loss of the leader takes effect once', async t => {
  const { cluster, frontend } = await startCluster(t)
  const first = frontend.execute(startEvacuation, 900)
  await cluster.stop(cluster.leaderNodeId())
  await first
  await cluster.executeUntil(frontend, startEvacuation)
  t.true(await listsEvacuation(cluster, frontend))
})

test.serial('a request is acknowledged and kept where the leader was suspended before and after it', async t => {
  const { cluster, frontend } = await startCluster(t)
  const first = frontend.execute(startEvacuation, 900)
  cluster.simulateSuspension(cluster.leaderNodeId())
  await first
  await cluster.executeUntil(frontend, startEvacuation)
  cluster.simulateSuspension(cluster.leaderNodeId())
  t.true(await listsEvacuation(cluster, frontend))
})
