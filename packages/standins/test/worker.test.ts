import test, { type ExecutionContext } from 'ava'
import { request } from 'undici'
import { ManualClock, type Clock } from '@comfreygrade/core'
import { FailTasksBehaviour, FixedRunTime, type OrderKind, RefusePrepareBehaviour, StandInWorker } from '../src/index.js'
import { FakeEntryNode, pollUntil } from './fake-entry.js'

interface WorkerFixture { entry: FakeEntryNode, worker: StandInWorker }

async function sendOrders ({ entry, worker }: WorkerFixture, ...kinds: OrderKind[]) {
  const incarnation = Number(entry.requests[0]?.body.incarnation)
  const cell = { firstAccelerator: 0, acceleratorCount: 8 }
  const orders = kinds.map(kind => ({
    kind, jobId: 'j-1', taskIndex: 0, leaseId: 1, ...cell, incarnation, leaseMs: 300
  }))
  // The timeout is longer than the lease of 300 ms, which has therefore expired when a frozen worker has not responded.
  const response = await request(`${worker.address}/v1/orders`, {
    method: 'POST', body: JSON.stringify({ term: 1, orders }), signal: AbortSignal.timeout(500)
  })
  return await response.body.json() as { results: string[] }
}

/** The worker and the entry node end with their test, also with one that fails, or its process would not exit. */
async function startWorker (t: ExecutionContext, runMs: number, clock?: Clock): Promise<WorkerFixture> {
  const entry = new FakeEntryNode()
  await entry.start()
  t.teardown(async () => { await entry.stop() })
  const worker = new StandInWorker({ entryAddresses: [entry.address], runTimes: new FixedRunTime(runMs) }, clock)
  await worker.start()
  t.teardown(async () => { await worker.kill() })
  // A worker refuses orders until its first heartbeat has obtained a lease.
  await pollUntil(() => worker.acceptedHeartbeats > 0)
  return { entry, worker }
}

async function stopFixture ({ entry, worker }: WorkerFixture): Promise<void> {
  await worker.stop()
  await entry.stop()
}

test('heartbeats renew the lease, so that a task that runs longer than one lease completes', async t => {
  // Time advances only after an accepted heartbeat, so that a pause of this process cannot expire the lease.
  const clock = new ManualClock(1_000)
  const fixture = await startWorker(t, 600, clock)
  await sendOrders(fixture, 'prepare', 'start')
  while (fixture.worker.runs[0]?.endedMs === undefined) {
    const acceptedBefore = fixture.worker.acceptedHeartbeats
    await pollUntil(() => fixture.worker.acceptedHeartbeats > acceptedBefore)
    clock.advance(100)
  }
  t.is(fixture.worker.runs[0]?.state, 'completed')
  await stopFixture(fixture)
})

test('a worker without an entry node stops its task when the lease expires, so that its accelerators can be reassigned', async t => {
  const fixture = await startWorker(t, 5_000)
  const { entry, worker } = fixture
  await sendOrders(fixture, 'prepare', 'start')
  await entry.stop()
  await pollUntil(() => worker.runs[0]?.endedMs !== undefined)
  t.like(worker.runs[0], { state: 'stopped', isLeaseExpired: true })
  await worker.kill()
})

test('a frozen worker responds to no order and stops its task when it resumes, so that the gang can run elsewhere', async t => {
  const fixture = await startWorker(t, 5_000)
  await sendOrders(fixture, 'prepare', 'start')
  fixture.worker.freeze()
  await t.throwsAsync(sendOrders(fixture, 'stop'), { any: true, name: 'TimeoutError' })
  fixture.worker.resume()
  t.like(fixture.worker.runs[0], { state: 'stopped', isLeaseExpired: true })
  await stopFixture(fixture)
})

test('a failed task is reported as failed to an entry node, so that its gang does not wait for it', async t => {
  const fixture = await startWorker(t, 5_000)
  fixture.entry.leaseMs = 60_000
  fixture.worker.setBehaviour(new FailTasksBehaviour())
  await sendOrders(fixture, 'prepare', 'start')
  const hasFailure = () => JSON.stringify(fixture.entry.requests.at(-1)).includes('"failed"')
  await pollUntil(hasFailure)
  t.true(hasFailure())
  await stopFixture(fixture)
})

test('a worker that refuses a prepare order reserves no accelerators, so that the leader requeues the gang', async t => {
  const fixture = await startWorker(t, 5_000)
  fixture.worker.setBehaviour(new RefusePrepareBehaviour())
  t.deepEqual((await sendOrders(fixture, 'prepare')).results, ['refused'])
  t.is(fixture.worker.runs.length, 0)
  await stopFixture(fixture)
})
