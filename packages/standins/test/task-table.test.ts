import test from 'ava'
import type { OrderBatch as WorkerOrderBatch } from '../src/index.js'
import { FixedRunTime, type OrderKind, TaskTable, type WorkerOrder, CompleteTasksBehaviour } from '../src/index.js'
import type { WorkerOrder as ControlOrder } from '@comfreygrade/control'

function createOrder (kind: OrderKind, leaseId = 1, firstAccelerator = 0): WorkerOrder {
  const cell = { firstAccelerator, acceleratorCount: 4 }
  return { kind, jobId: 'job-1', taskIndex: 0, leaseId, ...cell, incarnation: 7, leaseMs: 100 }
}

/** Orders have the type that the control leader sends, so that a difference from the worker's type does not compile. */
function createBatch (term: number, ...orders: ControlOrder[]): WorkerOrderBatch {
  return { term, orders }
}

function createTable (runMs = 1_000): TaskTable {
  const table = new TaskTable(8, new FixedRunTime(runMs), new CompleteTasksBehaviour(), 7)
  table.renewLease({ term: 0, leaseMs: 100, stopTasks: [] }, 0, 0)
  return table
}

test('an order is refused after the lease has expired, so that released accelerators are not reserved again', t => {
  const table = createTable()
  t.deepEqual(table.handleOrders(createBatch(1, createOrder('prepare')), 100).results, ['refused'])
})

test('an order for an earlier incarnation of the worker is refused, since a restart loses all tasks', t => {
  const table = createTable()
  t.deepEqual(table.handleOrders(createBatch(1, { ...createOrder('prepare'), incarnation: 6 }), 0).results, ['refused'])
})

test('an order with an older term changes nothing, so that a replaced leader cannot start a task', t => {
  const table = createTable()
  table.handleOrders(createBatch(5, createOrder('prepare')), 0)
  t.deepEqual(table.handleOrders(createBatch(4, createOrder('start')), 1), { term: 5, results: ['stale_term'] })
  t.is(table.runs[0]?.state, 'prepared')
})

test('a task is stopped when the lease of the worker is not renewed, so that its accelerators can be reassigned', t => {
  const table = createTable()
  table.handleOrders(createBatch(1, createOrder('prepare'), createOrder('start')), 0)
  t.false(table.endDueTasks(99))
  t.true(table.endDueTasks(100))
  t.like(table.runs[0], { state: 'stopped', isLeaseExpired: true, endedMs: 100 })
})

test('a renewed lease starts when the heartbeat was sent, so that a slow response does not lengthen it', t => {
  const table = createTable()
  table.handleOrders(createBatch(1, createOrder('prepare'), createOrder('start')), 0)
  table.renewLease({ term: 1, leaseMs: 100, stopTasks: [] }, 50, 90)
  t.is(table.nextDueMs(), 150)
})

test('a heartbeat response with an older term renews no lease, so that a replaced leader cannot keep tasks running', t => {
  const table = createTable()
  table.handleOrders(createBatch(3, createOrder('prepare')), 0)
  table.renewLease({ term: 2, leaseMs: 1_000, stopTasks: [] }, 10, 10)
  t.is(table.nextDueMs(), 100)
})

test('a task that would end after the lease of the worker is recorded as stopped, so that a frozen worker reports no false completion', t => {
  const table = createTable(150)
  table.handleOrders(createBatch(1, createOrder('prepare'), createOrder('start')), 0)
  table.endDueTasks(10_000)
  t.like(table.runs[0], { state: 'stopped', isLeaseExpired: true })
})

test('a repeated start order is accepted without a second run, so that a lost response duplicates no work', t => {
  const table = createTable(50)
  table.handleOrders(createBatch(1, createOrder('prepare'), createOrder('start')), 0)
  t.deepEqual(table.handleOrders(createBatch(1, createOrder('start')), 60).results, ['accepted'])
  t.is(table.runs.length, 1)
  t.like(table.runs[0], { state: 'completed', startedMs: 0 })
})

test('a prepare order that arrives after its stop order is refused, so that released accelerators are not reserved again', t => {
  const table = createTable()
  t.deepEqual(table.handleOrders(createBatch(1, createOrder('stop')), 0).results, ['accepted'])
  t.deepEqual(table.handleOrders(createBatch(1, createOrder('prepare')), 1).results, ['refused'])
  t.deepEqual(table.handleOrders(createBatch(1, createOrder('prepare', 2)), 2).results, ['accepted'])
})

test('orders for overlapping or nonexistent accelerators are refused, so that two tasks never share one', t => {
  const table = createTable()
  table.handleOrders(createBatch(1, createOrder('prepare')), 0)
  t.deepEqual(table.handleOrders(createBatch(1, createOrder('prepare', 2, 3)), 0).results, ['refused'])
  t.deepEqual(table.handleOrders(createBatch(1, createOrder('prepare', 3, 6)), 0).results, ['refused'])
  t.deepEqual(table.handleOrders(createBatch(1, createOrder('prepare', 4, 4)), 0).results, ['accepted'])
})

test('a completed task is reported until the leader lists it in stopTasks, so that it is not treated as lost', t => {
  const table = createTable(50)
  table.handleOrders(createBatch(1, createOrder('prepare'), createOrder('start')), 0)
  table.endDueTasks(60)
  table.renewLease({ term: 1, leaseMs: 100, stopTasks: [] }, 60, 60)
  t.is(table.createReports()[0]?.state, 'completed')
  const stopTasks = [{ jobId: 'job-1', taskIndex: 0, leaseId: 1 }]
  table.renewLease({ term: 1, leaseMs: 100, stopTasks }, 70, 70)
  t.deepEqual(table.createReports(), [])
})
