import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test, { type ExecutionContext } from 'ava'
import {
  type ConfigurationChange, type ConfigurationDocument, emptyConfiguration, toDocument
} from '@comfreygrade/core'
import { exitCodes } from '../src/index.js'
import { errorResponse, FakeNode, type RecordedCall, runCommand } from './fake-node.js'

const CHANGES_ROUTE = 'POST /v1/configuration/changes'

const desiredDocument: ConfigurationDocument = {
  ...toDocument(emptyConfiguration()),
  organisations: [{ organisationId: 'o1', quotaAccelerators: 8, weight: 1 }]
}

async function writeTempFile (t: ExecutionContext, value: unknown): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'comfreygrade-cli-'))
  t.teardown(async () => await rm(folder, { recursive: true }))
  const file = join(folder, 'input.yaml')
  await writeFile(file, typeof value === 'string' ? value : JSON.stringify(value))
  return file
}

/** Starts a node with a configuration that accepts one change, and the same change again, but no other one. */
async function startNodeWithConfiguration (
  version = 0, document = toDocument(emptyConfiguration())
): Promise<FakeNode> {
  const node = await new FakeNode().start()
  let acceptedChange = ''
  node.respondWith('GET /v1/configuration', { version, document })
  node.responseHandlers.set(CHANGES_ROUTE, (call: RecordedCall) => {
    const change = JSON.parse(call.text) as ConfigurationChange
    if (acceptedChange !== '' && acceptedChange !== call.text) return errorResponse({ kind: 'version_conflict', detail: 'version 1' })
    acceptedChange = call.text
    return { status: 200, body: { version: change.version, isDryRun: false } }
  })
  return node
}

test('apply retries the same change after a lost response, so that no second version is created', async t => {
  const node = await startNodeWithConfiguration()
  const file = await writeTempFile(t, desiredDocument)
  const accept = node.responseHandlers.get(CHANGES_ROUTE) ?? (() => errorResponse({ kind: 'not_found', detail: '' }))
  // Only the first call loses its response; the fake node drops none for values below 1.
  let remainingDrops = 1
  node.responseHandlers.set(CHANGES_ROUTE, call => {
    node.responsesToDrop = remainingDrops--
    return accept(call)
  })
  const { reason, stdout } = await runCommand([node.address], ['config', 'apply', file, '--json'])
  t.is(reason, 'done')
  t.deepEqual(JSON.parse(stdout), { version: 1, changedRecords: 1 })
  const [first, second] = node.calls.filter(call => call.route === CHANGES_ROUTE)
  t.is(first?.text, second?.text)
  node.stop()
})

test('apply sends nothing when the file equals the configuration in force, so that running it again creates no version', async t => {
  const node = await startNodeWithConfiguration(4, desiredDocument)
  const { reason, stdout } = await runCommand([node.address], ['config', 'apply', await writeTempFile(t, desiredDocument)])
  t.is(reason, 'done')
  t.is(stdout, 'nothing to change, version 4 is in force\n')
  t.deepEqual(node.calledRoutes(), ['GET /v1/configuration'])
  node.stop()
})

test('a version conflict shows how the file differs from the version in force, so that no concurrent change is undone unseen', async t => {
  const node = await startNodeWithConfiguration()
  node.responseHandlers.set(CHANGES_ROUTE, () => {
    node.respondWith('GET /v1/configuration', { version: 1, document: { ...desiredDocument, organisations: [] } })
    return errorResponse({ kind: 'version_conflict', detail: 'version 1 has other content' })
  })
  const { reason, stderr } = await runCommand([node.address], ['config', 'apply', await writeTempFile(t, desiredDocument)])
  t.is(exitCodes[reason], 3)
  t.regex(stderr, /version_conflict: version 1 has other content/)
  t.regex(stderr, /version 1 is in force/)
  t.regex(stderr, /add +│ organisation +│ o1/)
  node.stop()
})

test('an invalid file is not sent to a node and gives exit code 2', async t => {
  const node = await startNodeWithConfiguration()
  const { reason, stderr } = await runCommand([node.address], ['config', 'apply', await writeTempFile(t, 'racks: 3'), '--json'])
  t.is(exitCodes[reason], 2)
  t.is((JSON.parse(stderr) as { problems: unknown[] }).problems.length, 5)
  t.deepEqual(node.calls, [])
  node.stop()
})

test('diff checks with a dry run whether the change would be accepted, and does not apply it', async t => {
  const node = await startNodeWithConfiguration()
  node.responseHandlers.set(`${CHANGES_ROUTE}?dryRun=true`, () => errorResponse({ kind: 'guarantee_unsatisfiable', detail: '1 cell' }))
  const { reason, stdout, stderr } = await runCommand([node.address], ['config', 'diff', await writeTempFile(t, desiredDocument)])
  t.is(exitCodes[reason], 1)
  t.regex(stdout, /quotaAccelerators=8/)
  t.regex(stderr, /guarantee_unsatisfiable: 1 cell \(outcome: not_run, repeat: never\)/)
  t.false(node.calledRoutes().includes(CHANGES_ROUTE))
  node.stop()
})

test('a call without a response gives exit code 4, so that scripts can distinguish it from a refusal', async t => {
  const { reason, stderr } = await runCommand(['http://127.0.0.1:9'], ['fleet'])
  t.is(exitCodes[reason], 4)
  t.regex(stderr, /no node could be reached/)
})

test('usage errors give exit code 2 without any call to a node', async t => {
  for (const argv of [['job'], ['config', 'apply'], ['drain', 'rack', 'r1'], ['fleet', '--limit', '0']]) {
    t.is(exitCodes[(await runCommand(['http://127.0.0.1:9'], argv)).reason], 2)
  }
})

test('a job from stdin is submitted again with the same ID when the response is lost', async t => {
  const node = await new FakeNode().start()
  node.responseHandlers.set('POST /v1/jobs', call => {
    const spec = JSON.parse(call.text)
    return { status: 201, body: { spec, phase: 'waiting' } }
  })
  node.responsesToDrop = 1
  const job = `{ organisationId: o, jobClass: nightly, tasks: 2, acceleratorModel: gpu, acceleratorsPerTask: 8, coresPerTask: 1,
    memoryGbPerTask: 1, adjacency: rack, declaredRunMs: 1000, priority: normal, preemption: repeat }`
  const { reason, stdout } = await runCommand([node.address], ['job', 'submit', '-'], job)
  t.is(reason, 'done')
  t.regex(stdout, /^job nightly-[0-9a-f]+ is waiting\n$/)
  t.is(node.calls[0]?.text, node.calls[1]?.text)
  node.stop()
})

test('watch prints each phase once and gives exit code 1 for a job that did not complete', async t => {
  const node = await new FakeNode().start()
  const phases = ['waiting', 'waiting', 'running', 'ended']
  node.responseHandlers.set('GET /v1/jobs/j1', () => {
    const phase = phases.shift()
    return { status: 200, body: { phase, outcome: phase === 'ended' ? 'failed' : null, detail: 'x' } }
  })
  const { reason, stdout } = await runCommand([node.address], ['job', 'watch', 'j1', '--interval-ms', '1'])
  t.is(exitCodes[reason], 1)
  t.is(stdout, 'waiting: x\nrunning: x\nended as failed: x\n')
  node.stop()
})

test('a request passes the body unchanged and prints the idempotency key first, so that its outcome can be queried', async t => {
  const node = await new FakeNode().start()
  node.responseHandlers.set('POST /v1/services/charge/requests', call => ({ status: 200, body: `<${call.text}>` }))
  const argv = ['request', 'charge', '--organisation', 'o1', '--non-repeatable']
  const { reason, stdout, stderr } = await runCommand([node.address], argv, 'page 1')
  t.is(reason, 'done')
  t.is(stdout, '<page 1>')
  t.regex(stderr, /^idempotency-key: [0-9a-f]{8}-[0-9a-f]{4}-7/)
  t.is(node.calls[0]?.headers['comfreygrade-repeatable'], 'non-repeatable')
  node.stop()
})

test('fleet and guarantees show the fields of the response as tables, and fleet its report as JSON, so that a missing field is noticed', async t => {
  const guarantee = {
    guaranteeId: 'g1', organisationId: 'o1', acceleratorModel: 'gpu', acceleratorsPerCell: 4, cells: 2, cellsInUse: 1, lentAccelerators: 4, missingCells: 0
  }
  const report = { accelerators: 8, fragmentation: 0.25, guarantees: [guarantee], quarantinedWorkerIds: ['w2'] }
  const workers = [{ workerId: 'w1', state: 'active', address: 'http://127.0.0.1:1', tasks: 1 }]
  const node = await new FakeNode().start()
  node.respondWith('GET /v1/fleet', { report, workers, drains: [], backendServers: [] })
    .respondWith('GET /v1/guarantees', { guarantees: [guarantee] })
  t.regex((await runCommand([node.address], ['fleet'])).stdout, /fragmentation +│ 0\.25[^]*w1 +│ active/)
  t.regex((await runCommand([node.address], ['guarantees'])).stdout, /g1 +│ o1 +│ 4 gpu +│ 2 +│ 1/)
  t.deepEqual(JSON.parse((await runCommand([node.address], ['fleet', '--json'])).stdout).report, report)
  node.stop()
})

test('evacuations lists zones with their remaining runs from the metrics address', async t => {
  const evacuations = [
    { zone: 'z1\u001b[2J', requestedWallMs: 1_700_000_000_000, requestedBy: '10.0.0.7', workers: 41, remainingRuns: [{ taskKey: 'j.0.0.0', run: 1, workerId: 'w1' }] },
    { zone: 'z2', requestedWallMs: 1_700_000_000_000, requestedBy: '10.0.0.8', endedWallMs: 1_700_000_060_000, workers: 40, remainingRuns: [] }
  ]
  const node = (await new FakeNode().start()).respondWith('GET /evacuations', { evacuations })
  const address = node.address.slice('http://'.length)
  const text = await runCommand(['http://127.0.0.1:1'], ['evacuations', '--address', address])
  t.is(text.reason, 'done')
  t.regex(text.stdout, /z1\\u001b\[2J.*2023-11-14T22:13:20\.000Z.*10\.0\.0\.7.*41.*1/)
  t.regex(text.stdout, /z2.*10\.0\.0\.8.*2023-11-14T22:14:20\.000Z/)
  t.deepEqual(JSON.parse((await runCommand([], ['evacuations', '--address', address, '--json'])).stdout), { evacuations })
  node.stop()
})

test('evacuations without a valid address is a usage error, and calls no node', async t => {
  const node = await new FakeNode().start()
  for (const args of [[], ['--address', 'no-port'], ['--address', node.address]]) {
    t.is((await runCommand([node.address], ['evacuations', ...args])).reason, 'usage')
  }
  t.deepEqual(node.calls, [])
  node.stop()
})
