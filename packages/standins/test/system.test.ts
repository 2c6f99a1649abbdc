/** A local cluster of processes under kills, freezes, lost disks and network partitions. */
import { setTimeout as delay } from 'node:timers/promises'
import test from 'ava'
import { v7 } from 'uuid'
import type { ConfigurationChange } from '@comfreygrade/core'
import { waitFor } from '../src/index.js'
import { sendRequest, countExecutionsByKey, startBackendServers, startConfiguredCluster, type RequestResult } from './system-fixture.js'

/** Target for a configuration change to be in force on every node. */
const IN_FORCE_TARGET_MS = 10_000
/** A node that cannot reach the leader serves until its configuration lease of 5 s expires; the rest is for delays. */
const STALE_LEASE_TIMEOUT_MS = 7_000

function createOrganisationChange (version: number, organisationId: string): ConfigurationChange {
  const record = { organisationId, quotaAccelerators: 1, weight: 1 }
  return { version, baseVersion: version - 1, upserts: [{ kind: 'organisation', record }], removes: [] }
}

/** Repeats a request as clients do, while its claim is in progress or the entry node refuses it for now. */
async function repeatUntilSettled (address: string, requestId: string, key: string): Promise<RequestResult> {
  let attempts = 0
  return await waitFor(`the repeat ${requestId} to be settled`, IN_FORCE_TARGET_MS, async () => {
    const result = await sendRequest(address, `${requestId}-${attempts++}`, key)
    const isInProgress = result.status === 409 && result.body.includes('claim_in_progress')
    return isInProgress || result.status === 503 ? undefined : result
  })
}

test.serial('a killed leader loses no claim: no request is executed twice, and every repeated request is reported as completed', async t => {
  const cluster = await startConfiguredCluster(t)
  const backendServers = await startBackendServers(t, cluster, 3, 5)
  const leader = await cluster.waitForLeader()
  const survivors = cluster.nodes.filter(node => node.nodeId !== leader)

  const keys = Array.from({ length: 200 }, () => v7())
  const calls: Array<Promise<RequestResult>> = []
  for (const [index, key] of keys.entries()) {
    calls.push(sendRequest(survivors[index % survivors.length]?.address ?? '', `a${index}`, key))
    if (index === 100) await cluster.kill(leader)
    await delay(5)
  }
  const first = await Promise.all(calls)
  await cluster.waitForLeader(cluster.controlNodeIds().filter(nodeId => nodeId !== leader))
  const again = await Promise.all(keys.map(async (key, index) =>
    await repeatUntilSettled(survivors[(index + 1) % survivors.length]?.address ?? '', `b${index}`, key)))

  const executions = countExecutionsByKey(backendServers)
  for (const [index, key] of keys.entries()) {
    const count = executions.get(key) ?? 0
    t.true(count <= 1, `key ${index} ran ${count} times`)
    const reported = [first[index]?.outcome, again[index]?.outcome]
    if (reported.includes('completed')) t.is(count, 1, `key ${index} was reported as completed`)
  }
  // The requests are valid, so only a temporary refusal (503) is expected.
  for (const { idempotencyKey: key, outcome, status } of [...first, ...again]) {
    if (outcome === 'not_run' && status !== 503) t.fail(`key ${key} was refused with ${status}`)
  }
  // All entry nodes that took requests survive, so a repeat of any request must report it as completed.
  t.deepEqual([...new Set(again.map(result => result.outcome))], ['completed'])
})

test.serial('a frozen leader that resumes reverts no change, and the one made meanwhile is in force on every node', async t => {
  const cluster = await startConfiguredCluster(t)
  const frozen = await cluster.waitForLeader()
  cluster.freeze(frozen)
  const others = cluster.controlNodeIds().filter(nodeId => nodeId !== frozen)
  const leader = await cluster.waitForLeader(others)
  await cluster.client(leader).applyChange(createOrganisationChange(2, 'during-freeze'))
  // Longer than the configuration lease of 5 s.
  await delay(6_000)
  cluster.resume(frozen)

  await waitFor('the change to reach the node that was frozen', IN_FORCE_TARGET_MS, async () =>
    (await cluster.client(frozen).status()).configurationVersion === 2 || undefined)
  const versions = await Promise.all(cluster.nodes.map(async node => {
    const { configurationVersion } = await cluster.client(node.nodeId).status()
    return configurationVersion
  }))
  t.deepEqual(versions, cluster.nodes.map(() => 2))
  const { version, document } = await cluster.client(frozen).configuration()
  t.is(version, 2)
  t.true(document.organisations.some(organisation => organisation.organisationId === 'during-freeze'))
})

test.serial('with one VM down, a change is in force on all other nodes within 10 s of its acceptance', async t => {
  const cluster = await startConfiguredCluster(t)
  const down = cluster.nodes.find(node => !node.roles.includes('control'))
  await cluster.kill(down?.nodeId ?? '')
  const leader = await cluster.waitForLeader()
  await cluster.client(leader).applyChange(createOrganisationChange(2, 'one-down'))
  const status = await waitFor('the change to be in force', IN_FORCE_TARGET_MS, async () => {
    const current = await cluster.client(leader).configurationStatus()
    return current.isInForceEverywhere ? current : undefined
  })
  t.is(status.version, 2)
  t.false(status.nodes.find(node => node.nodeId === down?.nodeId)?.hasLease ?? true)
})

test.serial('a control node recovers from a lost disk, and the loss of a second VM right after loses no change', async t => {
  const cluster = await startConfiguredCluster(t)
  const leader = await cluster.waitForLeader()
  const [lost, second] = cluster.controlNodeIds().filter(nodeId => nodeId !== leader) as [string, string]
  await cluster.kill(lost)
  await cluster.wipeDisk(lost)
  await cluster.client(leader).applyChange(createOrganisationChange(2, 'while-lost'))
  await cluster.restart(lost)
  await waitFor('the loss of one more control node to be survivable', 20_000, async () => {
    const { replica } = await cluster.client(leader).status()
    return replica?.survivableLosses === 1 || undefined
  })

  await cluster.kill(second)
  const survivor = await cluster.waitForLeader([leader, lost])
  const accepted = await waitFor('a change to be accepted with the recovered control node', 20_000, async () =>
    await cluster.client(survivor).applyChange(createOrganisationChange(3, 'after-second-loss')))
  t.is(accepted.version, 3)
  const { document } = await cluster.client(survivor).configuration()
  t.true(document.organisations.some(organisation => organisation.organisationId === 'while-lost'))
})

test.serial('a control node that is silently partitioned stops serving, and the others continue', async t => {
  const relayedNodeId = 'salto-1'
  const cluster = await startConfiguredCluster(t, { relayedNodeId })
  await startBackendServers(t, cluster, 2, 5)
  const others = cluster.controlNodeIds().filter(nodeId => nodeId !== relayedNodeId)
  cluster.partition()
  const leader = await cluster.waitForLeader(others)
  await cluster.client(leader).applyChange(createOrganisationChange(2, 'during-cut'))
  const acceptedMs = performance.now()

  const address = cluster.nodes.find(node => node.nodeId === relayedNodeId)?.address ?? ''
  const refused = await waitFor('the partitioned node to refuse requests', STALE_LEASE_TIMEOUT_MS, async () => {
    // The time makes the request ID of each call unique.
    const result = await sendRequest(address, `cut-${performance.now() | 0}`)
    return result.body.includes('configuration_stale') ? result : undefined
  })
  t.is(refused.outcome, 'not_run')
  await waitFor('the change to be in force without the partitioned node',
    IN_FORCE_TARGET_MS - (performance.now() - acceptedMs),
    async () => (await cluster.client(leader).configurationStatus()).isInForceEverywhere || undefined)
  t.is((await sendRequest(cluster.nodes.find(node => node.nodeId === leader)?.address ?? '', 'during-cut')).outcome, 'completed')

  cluster.healPartition()
  await waitFor('the node to apply the change after the partition', IN_FORCE_TARGET_MS, async () =>
    (await cluster.client(relayedNodeId).status()).configurationVersion === 2 || undefined)
  await waitFor('the node to serve again', IN_FORCE_TARGET_MS, async () => {
    const result = await sendRequest(address, `healed-${performance.now() | 0}`)
    return result.outcome === 'completed' || undefined
  })
})

test.serial('a graceful shutdown responds to every open request, and a later one is refused as not run or gets no response', async t => {
  const cluster = await startConfiguredCluster(t)
  const backendServers = await startBackendServers(t, cluster, 2, 800)
  const leaving = cluster.nodes[4]
  const calls = Array.from({ length: 16 }, async (_, index) => await sendRequest(leaving?.address ?? '', `open-${index}`))
  // A request that still waits for its claim has not been sent to a backend server, and can be refused as not run.
  await waitFor('the requests to run', 5_000, async () =>
    backendServers.reduce((sum, server) => sum + server.openRequests, 0) === 16 || undefined)
  const terminated = cluster.terminate(leaving?.nodeId ?? '')
  await delay(100)
  const late = await sendRequest(leaving?.address ?? '', 'late')
  // Status 0 means no response, as when the port is already closed.
  t.true(late.status === 503 || late.status === 0)
  t.true(late.outcome === 'not_run' || late.status === 0)
  const results = await Promise.all(calls)
  t.deepEqual([...new Set(results.map(result => result.status))], [200])
  await terminated
  t.false([...backendServers.flatMap(server => server.executions)].some(execution => execution.requestId === 'late'))
})

test.serial('a backend server that deregisters gets no new requests from any node after 2 s', async t => {
  const cluster = await startConfiguredCluster(t)
  const backendServers = await startBackendServers(t, cluster, 2, 5)
  const [leaving] = backendServers
  await leaving?.deregister()
  await delay(2_000)
  const before = leaving?.executions.length
  const results = await Promise.all(cluster.entryAddresses.flatMap(address =>
    Array.from({ length: 20 }, async (_, index) => await sendRequest(address, `after-${address.slice(-5)}-${index}`))))
  t.deepEqual([...new Set(results.map(result => result.outcome))], ['completed'])
  t.is(leaving?.executions.length, before)
})

test.serial('of two concurrent changes with the same version one is accepted, a repeat gets the first response, and restarts revert none', async t => {
  const cluster = await startConfiguredCluster(t)
  const [left, right] = [cluster.client('montevideo-2'), cluster.client('salto-2')]
  const changes = [createOrganisationChange(2, 'left'), createOrganisationChange(2, 'right')] as const
  const race = await Promise.allSettled([left.applyChange(changes[0]), right.applyChange(changes[1])])
  t.deepEqual(race.map(result => result.status).sort(), ['fulfilled', 'rejected'])
  const refusal = race.find(result => result.status === 'rejected') as PromiseRejectedResult
  t.regex(String(refusal.reason), /version_conflict/)
  const winner = race[0].status === 'fulfilled' ? changes[0] : changes[1]
  t.is((await right.applyChange(winner)).version, 2)

  for (let version = 3; version <= 302; version++) await left.applyChange(createOrganisationChange(version, `o-${version}`))
  await Promise.all(cluster.nodes.map(async node => { await cluster.kill(node.nodeId) }))
  await Promise.all(cluster.nodes.map(async node => { await cluster.restart(node.nodeId) }))
  await cluster.waitForLeader()
  await waitFor('every node to have applied the last change', 20_000, async () => {
    const statuses = await Promise.all(cluster.nodes.map(async node => await cluster.client(node.nodeId).status()))
    return statuses.every(status => status.configurationVersion === 302) || undefined
  })
  t.is((await left.configuration()).version, 302)
})

test.serial('permanently silent links are replaced, and requests that wait on them get a response', async t => {
  const relayedNodeId = 'salto-2'
  const cluster = await startConfiguredCluster(t, { relayedNodeId })
  const backendServers = await startBackendServers(t, cluster, 2, 5)
  const address = cluster.nodes.find(node => node.nodeId === relayedNodeId)?.address ?? ''
  cluster.silenceOpenLinks()
  const results = await Promise.all(Array.from({ length: 20 }, async (_, index) =>
    await sendRequest(address, `silent-${index}`, undefined, 10_000)))
  t.deepEqual([...new Set(results.map(result => result.outcome))], ['completed'])
  t.deepEqual([...new Set(countExecutionsByKey(backendServers).values())], [1])
  t.true((await cluster.client(relayedNodeId).status()).hasConfigurationLease)
})

test.serial('a killed entry node leaves no claim that could run again, and repeats at another node report no false outcome', async t => {
  const cluster = await startConfiguredCluster(t)
  const backendServers = await startBackendServers(t, cluster, 2, 300)
  const [killed, other] = [cluster.nodes[4], cluster.nodes[3]]
  const keys = Array.from({ length: 30 }, () => v7())
  const first = Promise.all(keys.map(async (key, index) => await sendRequest(killed?.address ?? '', `first-${index}`, key)))
  await waitFor('requests to run', 5_000, async () => backendServers.some(server => server.openRequests > 0) || undefined)
  await cluster.kill(killed?.nodeId ?? '')
  t.deepEqual([...new Set((await first).map(result => result.outcome))], ['unknown'])
  const again = await Promise.all(keys.map(async (key, index) => await sendRequest(other?.address ?? '', `again-${index}`, key)))
  await delay(500)
  const executions = countExecutionsByKey(backendServers)
  for (const { idempotencyKey: key, outcome } of again) {
    const count = executions.get(key) ?? 0
    t.true(count <= 1, `key ${key} ran ${count} times`)
    if (outcome === 'not_run') t.is(count, 0)
    if (outcome === 'completed') t.is(count, 1)
  }
})

test.serial('a drained VM accepts no new requests until the drain is removed', async t => {
  const cluster = await startConfiguredCluster(t)
  await startBackendServers(t, cluster, 2, 5)
  const drained = cluster.nodes[4]
  const drain = { kind: 'vm', id: drained?.nodeId ?? '' } as const
  await cluster.client('salto-1').drain(drain)
  await waitFor('the drained node to refuse requests', 10_000, async () =>
    (await sendRequest(drained?.address ?? '', `drained-${performance.now() | 0}`)).outcome === 'not_run' || undefined)
  await cluster.client('salto-1').undrain(drain)
  await waitFor('the node to serve again', 10_000, async () =>
    (await sendRequest(drained?.address ?? '', `lifted-${performance.now() | 0}`)).outcome === 'completed' || undefined)
  t.pass()
})

test.serial('a control node that can send but not receive prevents no election of another leader, stops serving and reverts no change', async t => {
  const relayedNodeId = 'salto-1'
  const cluster = await startConfiguredCluster(t, { relayedNodeId })
  await startBackendServers(t, cluster, 2, 5)
  const others = cluster.controlNodeIds().filter(nodeId => nodeId !== relayedNodeId)
  cluster.partitionIncoming()
  const leader = await cluster.waitForLeader(others)
  await cluster.client(leader).applyChange(createOrganisationChange(2, 'during-cut'))
  const address = cluster.nodes.find(node => node.nodeId === relayedNodeId)?.address ?? ''
  await waitFor('the node that receives nothing to refuse requests', STALE_LEASE_TIMEOUT_MS, async () =>
    (await sendRequest(address, `deaf-${performance.now() | 0}`)).body.includes('configuration_stale') || undefined)
  await waitFor('the change to be in force without that node', IN_FORCE_TARGET_MS, async () =>
    (await cluster.client(leader).configurationStatus()).isInForceEverywhere || undefined)
  cluster.healPartition()
  await waitFor('the node to apply the change after the partition', IN_FORCE_TARGET_MS, async () =>
    (await cluster.client(relayedNodeId).status()).configurationVersion === 2 || undefined)
  t.is((await cluster.client(leader).configuration()).version, 2)
})

test.serial('a drain survives the kill of the leader and a restart of every node', async t => {
  const cluster = await startConfiguredCluster(t)
  const drained = cluster.nodes[4]?.nodeId ?? ''
  await cluster.client('montevideo-2').drain({ kind: 'vm', id: drained })
  const leader = await cluster.waitForLeader()
  await cluster.kill(leader)
  await cluster.waitForLeader(cluster.controlNodeIds().filter(nodeId => nodeId !== leader))
  const isDrained = async () => (await cluster.client(drained).status()).state === 'drained' || undefined
  await waitFor('the node to be drained under the next leader', 10_000, isDrained)
  await Promise.all(cluster.nodes.filter(node => node.nodeId !== leader)
    .map(async node => { await cluster.kill(node.nodeId) }))
  await Promise.all(cluster.nodes.map(async node => { await cluster.restart(node.nodeId) }))
  await waitFor('the node to be drained after the restart', 20_000, isDrained)
  t.pass()
})

test.serial('cancelling 200 waiting jobs ends every job as cancelled, and no accelerator is in use afterwards', async t => {
  const cluster = await startConfiguredCluster(t)
  const client = cluster.client('salto-2')
  // No worker has registered, so no job can be placed.
  const jobIds = Array.from({ length: 200 }, (_, index) => `wave-${index}`)
  await Promise.all(jobIds.map(async jobId => await client.submitJob({
    jobId,
    organisationId: 'o1',
    jobClass: 'wave',
    tasks: 1,
    acceleratorModel: 'gpu',
    acceleratorsPerTask: 8,
    coresPerTask: 1,
    memoryGbPerTask: 1,
    adjacency: 'none',
    declaredRunMs: 60_000,
    priority: 'normal',
    preemption: 'repeat'
  })))
  const cancelled = await Promise.all(jobIds.map(async jobId => await client.cancelJob(jobId)))
  t.is(cancelled.length, jobIds.length)
  const jobs = await waitFor('every job to end', 20_000, async () => {
    const response = await client.jobs({ limit: 1_000 })
    return response.jobs.every(job => job.phase === 'ended') ? response.jobs : undefined
  })
  t.deepEqual([...new Set(jobs.map(job => job.outcome))], ['cancelled'])
  t.is((await client.fleet()).report.acceleratorsInUse, 0)
})
