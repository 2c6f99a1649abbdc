import test from 'ava'
import type { OrderBatch as ControlBatch } from '../src/index.js'
import { FixedRunTime, type OrderKind, TaskTable, type WorkerOrder, WorkNormally } from '../src/index.js'
import type { WorkerOrder as ControlOrder } from '@comfreygrade/control'

function order (kind: OrderKind, leaseId = 1, firstAccelerator = 0): WorkerOrder {
  const cell = { firstAccelerator, acceleratorCount: 4 }
  return { kind, jobId: 'job-1', taskIndex: 0, leaseId, ...cell, incarnation: 7, leaseMs: 100 }
}

function batch (term: number, ...orders: ControlOrder[]): ControlBatch {
  return { term, orders }
}

function createTable (runMs = 1_000): TaskTable {
  const table = new TaskTable(8, new FixedRunTime(runMs), new WorkNormally(), 7)
  table.renew({ term: 0, leaseMs: 100, stopTasks: [] }, 0, 0)
  return table
}

test('an order without a valid lease is refused, so that a cell that was given up is not held again', t => {
  const table = createTable()
  t.deepEqual(table.handle(batch(1, order('prepare')), 100).results, ['refused'])
})

test('an order for an earlier start of the worker is refused, as that one gave up its tasks', t => {
  const table = createTable()
  t.deepEqual(table.handle(batch(1, { ...order('prepare'), incarnation: 6 }), 0).results, ['refused'])
})

test('an order of an older term changes nothing, so a replaced leader cannot start a task', t => {
  const table = createTable()
  table.handle(batch(5, order('prepare')), 0)
  t.deepEqual(table.handle(batch(4, order('start')), 1), { term: 5, results: ['stale_term'] })
  t.is(table.runs[0]?.state, 'prepared')
})

test('a task whose lease is not renewed is stopped, so the cell can be given to another job', t => {
  const table = createTable()
  table.handle(batch(1, order('prepare'), order('start')), 0)
  t.false(table.advance(99))
  t.true(table.advance(100))
  t.like(table.runs[0], { state: 'stopped', isLeaseLost: true, endedMs: 100 })
})

test('a renewal counts from when the report was sent, so a slow answer does not lengthen the lease', t => {
  const table = createTable()
  table.handle(batch(1, order('prepare'), order('start')), 0)
  table.renew({ term: 1, leaseMs: 100, stopTasks: [] }, 50, 90)
  t.is(table.nextDueMs(), 150)
})

test('a heartbeat answer of an older term renews nothing, so a replaced leader cannot keep tasks alive', t => {
  const table = createTable()
  table.handle(batch(3, order('prepare')), 0)
  table.renew({ term: 2, leaseMs: 1_000, stopTasks: [] }, 10, 10)
  t.is(table.nextDueMs(), 100)
})

test('a run that would end after its lease counts as stopped, so a frozen worker reports no false completion', t => {
  const table = createTable(150)
  table.handle(batch(1, order('prepare'), order('start')), 0)
  table.advance(10_000)
  t.like(table.runs[0], { state: 'stopped', isLeaseLost: true })
})

test('a repeated start is accepted without a second run, so a lost answer doubles no work', t => {
  const table = createTable(50)
  table.handle(batch(1, order('prepare'), order('start')), 0)
  t.deepEqual(table.handle(batch(1, order('start')), 60).results, ['accepted'])
  t.is(table.runs.length, 1)
  t.like(table.runs[0], { state: 'completed', startedMs: 0 })
})

test('a prepare that arrives after its stop is refused, so a released cell is not held again', t => {
  const table = createTable()
  t.deepEqual(table.handle(batch(1, order('stop')), 0).results, ['accepted'])
  t.deepEqual(table.handle(batch(1, order('prepare')), 1).results, ['refused'])
  t.deepEqual(table.handle(batch(1, order('prepare', 2)), 2).results, ['accepted'])
})

test('overlapping or missing accelerators are refused, so two tasks never share one', t => {
  const table = createTable()
  table.handle(batch(1, order('prepare')), 0)
  t.deepEqual(table.handle(batch(1, order('prepare', 2, 3)), 0).results, ['refused'])
  t.deepEqual(table.handle(batch(1, order('prepare', 3, 6)), 0).results, ['refused'])
  t.deepEqual(table.handle(batch(1, order('prepare', 4, 4)), 0).results, ['accepted'])
})

test('a completed task stays in the report until the leader does not know it, so it is not taken for lost', t => {
  const table = createTable(50)
  table.handle(batch(1, order('prepare'), order('start')), 0)
  table.advance(60)
  table.renew({ term: 1, leaseMs: 100, stopTasks: [] }, 60, 60)
  t.is(table.report()[0]?.state, 'completed')
  const stopTasks = [{ jobId: 'job-1', taskIndex: 0, leaseId: 1 }]
  table.renew({ term: 1, leaseMs: 100, stopTasks }, 70, 70)
  t.deepEqual(table.report(), [])
})
