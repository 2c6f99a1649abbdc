import test from 'ava'
import { request } from 'undici'
import { ManualClock, type Clock } from '@comfreygrade/core'
import { FailEverything, FixedRunTime, type OrderKind, RefusePrepare, StandInWorker } from '../src/index.js'
import { FakeEntry, until } from './fake-entry.js'

interface Pair { entry: FakeEntry, worker: StandInWorker }

async function send ({ entry, worker }: Pair, ...kinds: OrderKind[]) {
  const incarnation = Number(entry.announcements[0]?.body.incarnation)
  const cell = { firstAccelerator: 0, acceleratorCount: 8 }
  const orders = kinds.map(kind => ({
    kind, jobId: 'j-1', taskIndex: 0, leaseId: 1, ...cell, incarnation, leaseMs: 300
  }))
  const answer = await request(`${worker.address}/v1/orders`, {
    method: 'POST', body: JSON.stringify({ term: 1, orders }), signal: AbortSignal.timeout(500)
  })
  return await answer.body.json() as { results: string[] }
}

async function started (runMs: number, clock?: Clock): Promise<Pair> {
  const entry = new FakeEntry()
  await entry.start()
  const worker = new StandInWorker({ entries: [entry.address], runTimes: new FixedRunTime(runMs) }, clock)
  await worker.start()
  // Orders are refused without a lease, which the first heartbeat brings.
  await until(() => worker.acceptedHeartbeats > 0)
  return { entry, worker }
}

async function stop ({ entry, worker }: Pair): Promise<void> {
  await worker.stop()
  await entry.stop()
}

test('heartbeats renew a lease, so a task that runs longer than its lease completes', async t => {
  // The worker's time moves only after a heartbeat is answered, so that a pause of this process ends no lease.
  const clock = new ManualClock(1_000)
  const pair = await started(600, clock)
  await send(pair, 'prepare', 'start')
  while (pair.worker.runs[0]?.endedMs === undefined) {
    const answered = pair.worker.acceptedHeartbeats
    await until(() => pair.worker.acceptedHeartbeats > answered)
    clock.advance(100)
  }
  t.is(pair.worker.runs[0]?.state, 'completed')
  await stop(pair)
})

test('a task is stopped once the entry node is gone, so an unreachable worker frees its cell by itself', async t => {
  const pair = await started(5_000)
  const { entry, worker } = pair
  await send(pair, 'prepare', 'start')
  await entry.stop()
  await until(() => worker.runs[0]?.endedMs !== undefined)
  t.like(worker.runs[0], { state: 'stopped', isLeaseLost: true })
  await worker.kill()
})

test('a frozen worker answers no order and stops its task on thawing, so its gang can run elsewhere', async t => {
  const pair = await started(5_000)
  await send(pair, 'prepare', 'start')
  pair.worker.freeze()
  await t.throwsAsync(send(pair, 'stop'), { any: true, name: 'TimeoutError' })
  pair.worker.thaw()
  t.like(pair.worker.runs[0], { state: 'stopped', isLeaseLost: true })
  await stop(pair)
})

test('a failure is reported at once, so the gang does not wait for the next heartbeat', async t => {
  const pair = await started(5_000)
  pair.entry.leaseMs = 60_000
  pair.worker.behave(new FailEverything())
  await send(pair, 'prepare', 'start')
  const hasFailure = () => JSON.stringify(pair.entry.announcements.at(-1)).includes('"failed"')
  await until(hasFailure)
  t.true(hasFailure())
  await stop(pair)
})

test('a worker that refuses holds nothing, so the leader must requeue the gang', async t => {
  const pair = await started(5_000)
  pair.worker.behave(new RefusePrepare())
  t.deepEqual((await send(pair, 'prepare')).results, ['refused'])
  t.is(pair.worker.runs.length, 0)
  await stop(pair)
})
