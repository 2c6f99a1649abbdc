import test from 'ava'
import type { BatchOperation, QueueDocument } from '@comfreygrade/batch'
import { Cluster } from './cluster.js'

const HOST = 'print.example'
const KEY = 'k'

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
  organisations: [{ name: 'o', apiKeys: [KEY], guaranteedAccelerators: 0 }],
  source: '{"version":3}'
}
const put: BatchOperation = { kind: 'put_configuration', document: queueDocument }
const read: BatchOperation = { kind: 'get_configuration' }

function submit (jobId: string): BatchOperation {
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
  return { kind: 'submit', request: { host: HOST, path: `/q/${jobId}`, apiKey: KEY }, spec: { payload: '', steps } }
}

function stateOf (jobId: string): BatchOperation {
  return { kind: 'job_state', request: { host: HOST, path: `/q/${jobId}`, apiKey: KEY } }
}

async function startCluster (t: { teardown: (end: () => Promise<void>) => void }) {
  const cluster = await Cluster.create()
  t.teardown(async () => { await cluster.close() })
  await Promise.all(['c', 'a', 'b'].map(async nodeId => await cluster.startControl(nodeId, true)))
  const entry = await cluster.startEntry('entry')
  await cluster.until(entry, put)
  return { cluster, entry }
}

test.serial('processes find each other from the seeds, in any order of their start', async t => {
  const { cluster, entry } = await startCluster(t)
  await cluster.until(entry, submit('j1'))
  t.like(await entry.operate(stateOf('j1'), 1_000), { value: { state: 'queued' } })
  t.like(await entry.operate(read, 1_000), { value: { source: queueDocument.source } })
})

test.serial('an accepted job outlives the restart of every control node', async t => {
  const { cluster, entry } = await startCluster(t)
  await cluster.until(entry, submit('j1'))
  for (const nodeId of ['a', 'b', 'c']) await cluster.stop(nodeId)
  for (const nodeId of ['b', 'c', 'a']) await cluster.startControl(nodeId)
  t.like(await cluster.until(entry, stateOf('j1')), { value: { state: 'queued' } })
})

test.serial('a node that lost its disk is taken back, after which another may be lost', async t => {
  const { cluster, entry } = await startCluster(t)
  await cluster.until(entry, submit('j1'))
  await cluster.stop('b')
  await cluster.loseDisk('b')
  await cluster.startControl('b')
  await cluster.untilRepaired(voter => voter.nodeId === 'b' && voter.diskId !== 'first')
  await cluster.stop('c')
  t.like(await cluster.until(entry, stateOf('j1')), { value: { state: 'queued' } })
  await cluster.until(entry, submit('j2'))
})

test.serial('a control node at a new address takes the place of one that is gone', async t => {
  const { cluster, entry } = await startCluster(t)
  await cluster.until(entry, submit('j1'))
  await cluster.startControl('d')
  await cluster.stop('a')
  await cluster.untilRepaired(voter => voter.nodeId === 'd')
  await cluster.stop('b')
  t.like(await cluster.until(entry, stateOf('j1')), { value: { state: 'queued' } })
})

test.serial('a minority refuses, and says that nothing has run', async t => {
  const { cluster, entry } = await startCluster(t)
  await cluster.stop('a')
  await cluster.stop('b')
  const refused = await cluster.until(entry, submit('j2'), result =>
    !result.ok && result.failure.kind === 'control_unavailable')
  t.false(refused.ok)
})
