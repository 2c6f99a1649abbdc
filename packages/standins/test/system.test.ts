/** The whole system as processes, under kills, freezes, lost disks and cuts. */
import { setTimeout as delay } from 'node:timers/promises'
import test from 'ava'
import { v7 } from 'uuid'
import type { ConfigurationChange } from '@comfreygrade/core'
import { waitFor } from '../src/index.js'
import { call, executionsByKey, startBackends, startConfigured, type CallResult } from './system-fixture.js'

/** The target for a change of configuration to be in force everywhere. */
const IN_FORCE_LIMIT_MS = 10_000
/** A node without contact to the leader serves no longer than its configuration lease of 5 s, and some scheduling. */
const STALE_LIMIT_MS = 7_000

function addOrganisation (version: number, organisationId: string): ConfigurationChange {
  const record = { organisationId, quotaAccelerators: 1, weight: 1 }
  return { version, baseVersion: version - 1, upserts: [{ kind: 'organisation', record }], removes: [] }
}

test.serial('a killed leader loses no claim: nothing runs twice and "not run" is never contradicted', async t => {
  const system = await startConfigured(t)
  const backends = await startBackends(t, system, 3, 5)
  const leader = await system.leader()
  const survivors = system.nodes.filter(node => node.nodeId !== leader)

  const keys = Array.from({ length: 200 }, () => v7())
  const calls: Array<Promise<CallResult>> = []
  for (const [index, key] of keys.entries()) {
    calls.push(call(survivors[index % survivors.length]?.address ?? '', `a${index}`, key))
    if (index === 100) await system.kill(leader)
    await delay(5)
  }
  const first = await Promise.all(calls)
  await system.leader(system.controlNodeIds().filter(nodeId => nodeId !== leader))
  const again = await Promise.all(keys.map(async (key, index) =>
    await call(survivors[(index + 1) % survivors.length]?.address ?? '', `b${index}`, key)))

  const executions = executionsByKey(backends)
  for (const [index, key] of keys.entries()) {
    const count = executions.get(key) ?? 0
    t.true(count <= 1, `key ${index} ran ${count} times`)
    const told = [first[index]?.outcome, again[index]?.outcome]
    if (told.includes('completed')) t.is(count, 1, `key ${index} was answered as completed`)
  }
  for (const { key, outcome, status } of [...first, ...again]) {
    if (outcome === 'not_run' && status !== 503) t.fail(`key ${key} was refused with ${status}`)
  }
  // All callers' nodes survive, so every request can be known to have completed once it was repeated.
  t.deepEqual([...new Set(again.map(result => result.outcome))], ['completed'])
})

test.serial('a frozen leader that resumes reverts nothing, and the change made meanwhile is in force everywhere', async t => {
  const system = await startConfigured(t)
  const frozen = await system.leader()
  system.freeze(frozen)
  const others = system.controlNodeIds().filter(nodeId => nodeId !== frozen)
  const leader = await system.leader(others)
  await system.client(leader).applyChange(addOrganisation(2, 'during-freeze'))
  await delay(6_000)
  system.thaw(frozen)

  await waitFor('the change to reach the node that was frozen', IN_FORCE_LIMIT_MS, async () =>
    (await system.client(frozen).status()).configurationVersion === 2 || undefined)
  const versions = await Promise.all(system.nodes.map(async node => {
    const { configurationVersion } = await system.client(node.nodeId).status()
    return configurationVersion
  }))
  t.deepEqual(versions, system.nodes.map(() => 2))
  const { version, document } = await system.client(frozen).configuration()
  t.is(version, 2)
  t.true(document.organisations.some(organisation => organisation.organisationId === 'during-freeze'))
})

test.serial('with one VM down, a change is in force everywhere within 10 s of its acceptance', async t => {
  const system = await startConfigured(t)
  const down = system.nodes.find(node => !node.roles.includes('control'))
  await system.kill(down?.nodeId ?? '')
  const leader = await system.leader()
  await system.client(leader).applyChange(addOrganisation(2, 'one-down'))
  const status = await waitFor('the change to be in force', IN_FORCE_LIMIT_MS, async () => {
    const current = await system.client(leader).configurationStatus()
    return current.isInForceEverywhere ? current : undefined
  })
  t.is(status.version, 2)
  t.false(status.nodes.find(node => node.nodeId === down?.nodeId)?.hasLease ?? true)
})

test.serial('a lost disk is replaced, and losing a second VM right after the repair loses nothing', async t => {
  const system = await startConfigured(t)
  const leader = await system.leader()
  const [lost, second] = system.controlNodeIds().filter(nodeId => nodeId !== leader) as [string, string]
  await system.kill(lost)
  await system.loseDisk(lost)
  await system.client(leader).applyChange(addOrganisation(2, 'while-lost'))
  await system.restart(lost)
  await waitFor('the loss of one more control node to be survivable', 20_000, async () => {
    const { replica } = await system.client(leader).status()
    return replica?.survivableLosses === 1 || undefined
  })

  await system.kill(second)
  const survivor = await system.leader([leader, lost])
  const accepted = await waitFor('a change with the repaired voter', 20_000, async () =>
    await system.client(survivor).applyChange(addOrganisation(3, 'after-second-loss')))
  t.is(accepted.version, 3)
  const { document } = await system.client(survivor).configuration()
  t.true(document.organisations.some(organisation => organisation.organisationId === 'while-lost'))
})

test.serial('a leader that is silently cut off stops serving, and the rest goes on', async t => {
  const relayedNodeId = 'salto-1'
  const system = await startConfigured(t, { relayedNodeId })
  await startBackends(t, system, 2, 5)
  const others = system.controlNodeIds().filter(nodeId => nodeId !== relayedNodeId)
  system.cutOff()
  const leader = await system.leader(others)
  await system.client(leader).applyChange(addOrganisation(2, 'during-cut'))
  const cutOffMs = performance.now()

  const address = system.nodes.find(node => node.nodeId === relayedNodeId)?.address ?? ''
  const refused = await waitFor('the node that is cut off to refuse', STALE_LIMIT_MS, async () => {
    const result = await call(address, `cut-${performance.now() | 0}`)
    return result.body.includes('configuration_stale') ? result : undefined
  })
  t.is(refused.outcome, 'not_run')
  await waitFor('the change to be in force without the node that is cut off',
    IN_FORCE_LIMIT_MS - (performance.now() - cutOffMs),
    async () => (await system.client(leader).configurationStatus()).isInForceEverywhere || undefined)
  t.is((await call(system.nodes.find(node => node.nodeId === leader)?.address ?? '', 'during-cut')).outcome, 'completed')

  system.reconnect()
  await waitFor('the node to take the change after the cut', IN_FORCE_LIMIT_MS, async () =>
    (await system.client(relayedNodeId).status()).configurationVersion === 2 || undefined)
  await waitFor('the node to serve again', IN_FORCE_LIMIT_MS, async () => {
    const result = await call(address, `healed-${performance.now() | 0}`)
    return result.outcome === 'completed' || undefined
  })
})

test.serial('a graceful shutdown answers every open request and refuses later ones as not run', async t => {
  const system = await startConfigured(t)
  const backends = await startBackends(t, system, 2, 800)
  const leaving = system.nodes[4]
  const calls = Array.from({ length: 16 }, async (_, index) => await call(leaving?.address ?? '', `open-${index}`))
  // A request that still waits for its claim was never sent, and may be handed back as not run.
  await waitFor('the requests to run', 5_000, async () =>
    backends.reduce((sum, backend) => sum + backend.openRequests, 0) === 16 || undefined)
  const terminated = system.terminate(leaving?.nodeId ?? '')
  await delay(100)
  const late = await call(leaving?.address ?? '', 'late')
  t.true(late.status === 503 || late.status === 0)
  t.true(late.outcome === 'not_run' || late.status === 0)
  const results = await Promise.all(calls)
  t.deepEqual([...new Set(results.map(result => result.status))], [200])
  await terminated
  t.false([...backends.flatMap(backend => backend.executions)].some(execution => execution.requestId === 'late'))
})

test.serial('a leaving backend server gets no new work from any node a few seconds later', async t => {
  const system = await startConfigured(t)
  const backends = await startBackends(t, system, 2, 5)
  const [leaving] = backends
  await leaving?.leave()
  await delay(2_000)
  const before = leaving?.executions.length
  const results = await Promise.all(system.addresses.flatMap(address =>
    Array.from({ length: 20 }, async (_, index) => await call(address, `after-${address.slice(-5)}-${index}`))))
  t.deepEqual([...new Set(results.map(result => result.outcome))], ['completed'])
  t.is(leaving?.executions.length, before)
})

test.serial('operators with equal numbers get one winner, a resend the first answer, and restarts revert nothing', async t => {
  const system = await startConfigured(t)
  const [left, right] = [system.client('montevideo-2'), system.client('salto-2')]
  const changes = [addOrganisation(2, 'left'), addOrganisation(2, 'right')] as const
  const race = await Promise.allSettled([left.applyChange(changes[0]), right.applyChange(changes[1])])
  t.deepEqual(race.map(result => result.status).sort(), ['fulfilled', 'rejected'])
  const refusal = race.find(result => result.status === 'rejected') as PromiseRejectedResult
  t.regex(String(refusal.reason), /version_conflict/)
  const winner = race[0].status === 'fulfilled' ? changes[0] : changes[1]
  t.is((await right.applyChange(winner)).version, 2)

  for (let version = 3; version <= 302; version++) await left.applyChange(addOrganisation(version, `o-${version}`))
  await Promise.all(system.nodes.map(async node => { await system.kill(node.nodeId) }))
  await Promise.all(system.nodes.map(async node => { await system.restart(node.nodeId) }))
  await system.leader()
  await waitFor('every node to hold the last change', 20_000, async () => {
    const statuses = await Promise.all(system.nodes.map(async node => await system.client(node.nodeId).status()))
    return statuses.every(status => status.configurationVersion === 302) || undefined
  })
  t.is((await left.configuration()).version, 302)
})

test.serial('links that went silent for good are replaced, and requests that wait on them are answered', async t => {
  const relayedNodeId = 'salto-2'
  const system = await startConfigured(t, { relayedNodeId })
  const backends = await startBackends(t, system, 2, 5)
  const address = system.nodes.find(node => node.nodeId === relayedNodeId)?.address ?? ''
  system.silenceOpenLinks()
  const results = await Promise.all(Array.from({ length: 20 }, async (_, index) =>
    await call(address, `silent-${index}`, undefined, 10_000)))
  t.deepEqual([...new Set(results.map(result => result.outcome))], ['completed'])
  t.deepEqual([...new Set(executionsByKey(backends).values())], [1])
  t.true((await system.client(relayedNodeId).status()).hasConfigurationLease)
})

test.serial('a killed entry node leaves no claim that could run again, and repeats elsewhere are told the truth', async t => {
  const system = await startConfigured(t)
  const backends = await startBackends(t, system, 2, 300)
  const [killed, other] = [system.nodes[4], system.nodes[3]]
  const keys = Array.from({ length: 30 }, () => v7())
  const first = Promise.all(keys.map(async (key, index) => await call(killed?.address ?? '', `first-${index}`, key)))
  await waitFor('requests to run', 5_000, async () => backends.some(backend => backend.openRequests > 0) || undefined)
  await system.kill(killed?.nodeId ?? '')
  t.deepEqual([...new Set((await first).map(result => result.outcome))], ['unknown'])
  const again = await Promise.all(keys.map(async (key, index) => await call(other?.address ?? '', `again-${index}`, key)))
  await delay(500)
  const executions = executionsByKey(backends)
  for (const { key, outcome } of again) {
    const count = executions.get(key) ?? 0
    t.true(count <= 1, `key ${key} ran ${count} times`)
    if (outcome === 'not_run') t.is(count, 0)
    if (outcome === 'completed') t.is(count, 1)
  }
})

test.serial('a drained VM takes no new requests until the drain is lifted', async t => {
  const system = await startConfigured(t)
  await startBackends(t, system, 2, 5)
  const drained = system.nodes[4]
  const drain = { kind: 'vm', id: drained?.nodeId ?? '' } as const
  await system.client('salto-1').drain(drain)
  await waitFor('the node to refuse', 10_000, async () =>
    (await call(drained?.address ?? '', `drained-${performance.now() | 0}`)).outcome === 'not_run' || undefined)
  await system.client('salto-1').undrain(drain)
  await waitFor('the node to serve again', 10_000, async () =>
    (await call(drained?.address ?? '', `lifted-${performance.now() | 0}`)).outcome === 'completed' || undefined)
  t.pass()
})

test.serial('a leader that can send but not receive is replaced, stops serving and reverts nothing', async t => {
  const relayedNodeId = 'salto-1'
  const system = await startConfigured(t, { relayedNodeId })
  await startBackends(t, system, 2, 5)
  const others = system.controlNodeIds().filter(nodeId => nodeId !== relayedNodeId)
  system.cutOffIncoming()
  const leader = await system.leader(others)
  await system.client(leader).applyChange(addOrganisation(2, 'during-cut'))
  const address = system.nodes.find(node => node.nodeId === relayedNodeId)?.address ?? ''
  await waitFor('the node that hears nothing to refuse', STALE_LIMIT_MS, async () =>
    (await call(address, `deaf-${performance.now() | 0}`)).body.includes('configuration_stale') || undefined)
  await waitFor('the change to be in force without it', IN_FORCE_LIMIT_MS, async () =>
    (await system.client(leader).configurationStatus()).isInForceEverywhere || undefined)
  system.reconnect()
  await waitFor('the node to take the change after the cut', IN_FORCE_LIMIT_MS, async () =>
    (await system.client(relayedNodeId).status()).configurationVersion === 2 || undefined)
  t.is((await system.client(leader).configuration()).version, 2)
})

test.serial('a drain survives a killed leader and a restart of every node', async t => {
  const system = await startConfigured(t)
  const drained = system.nodes[4]?.nodeId ?? ''
  await system.client('montevideo-2').drain({ kind: 'vm', id: drained })
  const leader = await system.leader()
  await system.kill(leader)
  await system.leader(system.controlNodeIds().filter(nodeId => nodeId !== leader))
  const isDrained = async () => (await system.client(drained).status()).state === 'drained' || undefined
  await waitFor('the node to be drained under the next leader', 10_000, isDrained)
  await Promise.all(system.nodes.filter(node => node.nodeId !== leader)
    .map(async node => { await system.kill(node.nodeId) }))
  await Promise.all(system.nodes.map(async node => { await system.restart(node.nodeId) }))
  await waitFor('the node to be drained after the restart', 20_000, isDrained)
  t.pass()
})

test.serial('a wave of cancellations while gangs run ends every job and frees every accelerator', async t => {
  const system = await startConfigured(t)
  const client = system.client('salto-2')
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
    const answer = await client.jobs({ limit: 1_000 })
    return answer.jobs.every(job => job.phase === 'ended') ? answer.jobs : undefined
  })
  t.deepEqual([...new Set(jobs.map(job => job.outcome))], ['cancelled'])
  t.is((await client.fleet()).report.acceleratorsInUse, 0)
})
