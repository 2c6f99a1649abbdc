/** Permitted regions: tasks start only where queue and organisation permit it, under the configuration in force. */
import test from 'ava'
import type { QueueDocument, StepSpec } from '../src/index.js'
import { document, HOST, KEY, queue, step } from './sample-data.js'
import { LeaderFixture, RecordingLog } from './leader-fixture.js'

const SETTINGS = { maxLongPollMs: 60, gangAssemblyMs: 0, regionByAvailabilityZone: { z1: 'north', z2: 'south' } }
const inZ1 = { availabilityZone: 'z1' }
const inZ2 = { availabilityZone: 'z2' }

function regionDocument (
  version: number, ofQueue: readonly string[], ofOrganisation: readonly string[] = []
): QueueDocument {
  const { organisations, ...rest } = document(version, [queue({ permittedRegions: ofQueue }), queue({ name: 'free', pathPrefix: '/free/' })])
  return { ...rest, organisations: organisations.map(entry => ({ ...entry, permittedRegions: ofOrganisation })) }
}

function createFixture (ofQueue: readonly string[], ofOrganisation: readonly string[] = []) {
  return new LeaderFixture(regionDocument(1, ofQueue, ofOrganisation), SETTINGS)
}

function startsOf (fixture: LeaderFixture, workerId: string, fields: object): readonly string[] {
  return fixture.heartbeat(workerId, fields)?.starts.map(({ taskKey }) => taskKey) ?? []
}

function wholeWorkerStep (fields: Partial<StepSpec> = {}): StepSpec {
  return step({ shape: { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 8 }, ...fields })
}

test('a task starts only in a region that both the queue and the organisation permit', t => {
  for (const [ofQueue, ofOrganisation] of [[['south'], []], [[], ['south']], [['north', 'south'], ['south', 'west']]] as const) {
    const fixture = createFixture(ofQueue, ofOrganisation)
    fixture.heartbeat('w1', inZ1)
    fixture.heartbeat('w0', { availabilityZone: 'unknown' })
    fixture.submit('j1', [step({ taskCount: 1 })])
    fixture.heartbeat('w2', inZ2)
    for (let count = 0; count < 3; count++) {
      t.deepEqual([...startsOf(fixture, 'w0', { availabilityZone: 'unknown' }), ...startsOf(fixture, 'w1', inZ1)], [])
    }
    t.deepEqual(startsOf(fixture, 'w2', inZ2), ['j1.0.0.0'])
  }
})

test('empty lists permit all regions, also workers in a zone that the settings do not name', t => {
  const fixture = createFixture([], [])
  fixture.heartbeat('w0', { availabilityZone: 'unknown' })
  fixture.submit('j1', [step({ taskCount: 1 })])
  t.deepEqual(startsOf(fixture, 'w0', { availabilityZone: 'unknown' }), ['j1.0.0.0'])
})

// Guards against a restricted step that keeps others from workers which only it must not use.
test('steps without a restriction start while a restricted one waits for its region', t => {
  const log = new RecordingLog()
  const fixture = new LeaderFixture(regionDocument(1, ['south']), { ...SETTINGS, maxReservations: 0 }, log)
  fixture.heartbeat('w1', inZ1)
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.submit('j2', [step({ taskCount: 1 })], '/free/')
  t.deepEqual(startsOf(fixture, 'w1', inZ1), ['j2.0.0.0'])
  for (let count = 0; count < 15; count++) fixture.heartbeat('w1', inZ1)
  t.is(log.lines.find(line => line.message === 'step waits')?.fields['reason'], 'region')
})

test('a job that may run in no region of the deployment is refused', t => {
  for (const [ofQueue, ofOrganisation] of [[['west'], []], [[], ['west']], [['north'], ['south']]] as const) {
    const fixture = createFixture(ofQueue, ofOrganisation)
    t.like(fixture.submit('j1', [step()]), { failure: { kind: 'region_not_permitted' } })
    t.is(fixture.state.job('j1'), undefined)
  }
})

test('a job submitted while a configuration is committed that permits it nowhere is not accepted', t => {
  const fixture = createFixture(['south'])
  fixture.isCommitting = false
  fixture.execute({ kind: 'put_configuration', document: regionDocument(2, ['west']) })
  t.like(fixture.submit('j1', [step()]), { failure: { kind: 'control_unavailable' } })
})

test('an accepted job follows the configuration in force, also where it was assigned and not started', t => {
  const fixture = createFixture([])
  fixture.heartbeat('w1', inZ1)
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.advance(50)
  fixture.execute({ kind: 'put_configuration', document: regionDocument(2, ['south']) })
  t.deepEqual(startsOf(fixture, 'w1', inZ1), [])
  fixture.heartbeat('w2', inZ2)
  t.deepEqual(startsOf(fixture, 'w2', inZ2), ['j1.0.0.0'])
})

test('a gang with a member assigned outside its region starts as a whole within it', t => {
  const fixture = createFixture([])
  fixture.heartbeat('w1', inZ1)
  fixture.heartbeat('w2', inZ2)
  fixture.submit('j1', [wholeWorkerStep({ isGang: true })])
  fixture.advance(50)
  fixture.execute({ kind: 'put_configuration', document: regionDocument(2, ['south']) })
  t.deepEqual([...startsOf(fixture, 'w2', inZ2), ...startsOf(fixture, 'w1', inZ1)], [])
  fixture.heartbeat('w3', inZ2)
  t.is(startsOf(fixture, 'w2', inZ2).length + startsOf(fixture, 'w3', inZ2).length, 2)
})

test('tickets are requested only for workers in a permitted region', t => {
  const advice = { decideMs: 1, perWorkerMs: 1, ticketValidMs: 5_000 }
  const fixture = new LeaderFixture(document(1, [queue({ permittedRegions: ['south'], advice })]), SETTINGS)
  fixture.heartbeat('w1', inZ1)
  fixture.heartbeat('w2', inZ2)
  const request = { host: HOST, path: '/normal/j1', apiKey: KEY }
  fixture.execute({ kind: 'submit', request, spec: { payload: '', steps: [step()] } })
  fixture.advance(200)
  t.deepEqual(fixture.adviceRequests.map(({ workerIds }) => workerIds), [['w2']])
})

// Guards against a refusal that says "not run" for a job whose earlier submission commits and runs.
test('a submission is not refused because of a pending configuration while an earlier one of its job is pending', t => {
  const withoutQueue = document(2, [queue({ name: 'free', pathPrefix: '/free/' })])
  for (const pending of [regionDocument(2, ['west']), withoutQueue]) {
    const fixture = createFixture(['south'])
    fixture.isCommitting = false
    t.is(fixture.submit('j1', [step()]), undefined)
    fixture.execute({ kind: 'put_configuration', document: pending })
    t.is(fixture.submit('j1', [step()]), undefined)
    fixture.commitNext()
    t.not(fixture.state.job('j1'), undefined)
  }
})
