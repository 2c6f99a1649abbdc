import test from 'ava'
import type { LeaderEvent, Ticket } from '@comfreygrade/batch'
import { EventLog, ManualClock, NullMetrics, UNEXPECTED_ERROR } from '@comfreygrade/core'
import { AdvicePort, VmPort, type CallerIdentity } from '../src/index.js'
import { PortCalls } from '../src/port-calls.js'

const call = { waveId: '1', vmId: 'm-1' }

class FailingAdvicePort extends AdvicePort {
  override async requestTickets (): Promise<never> {
    throw new Error('unexpected')
  }
}

class RecordingVmPort extends VmPort {
  readonly callers: CallerIdentity[] = []

  override async beginMaintenance (_call: unknown, caller: CallerIdentity): Promise<'begun'> {
    this.callers.push(caller)
    return 'begun'
  }
}

class FailingVmPort extends VmPort {
  override async beginMaintenance (): Promise<never> {
    throw new Error('unexpected')
  }
}

/** Answers when the test says so. */
class WaitingAdvicePort extends AdvicePort {
  readonly asked: string[] = []
  answer = (): void => {}

  override async requestTickets (stepKey: string): Promise<readonly Ticket[]> {
    this.asked.push(stepKey)
    return await new Promise(resolve => { this.answer = () => { resolve([{ workerId: 'w', ticket: stepKey }]) } })
  }
}

class RecordingLog extends EventLog {
  readonly warnings: string[] = []

  override info (): void {}

  override warn (message: string): void {
    this.warnings.push(message)
  }
}

function createCalls (
  vms: VmPort, leadsInTerm: (term: number) => boolean, advice: AdvicePort = new FailingAdvicePort()
) {
  const events: LeaderEvent[] = []
  const log = new RecordingLog()
  const calls = new PortCalls({
    nodeId: 'a',
    advice,
    vms,
    clock: new ManualClock(0, 0),
    metrics: new NullMetrics(),
    log,
    leadsInTerm,
    dispatch: event => { events.push(event) }
  })
  return { calls, events, warnings: log.warnings }
}

test('a leader calls the VM interface with its term as fencing token, and returns the answer', async t => {
  const vms = new RecordingVmPort()
  const { calls, events } = createCalls(vms, term => term === 7)
  await calls.beginMaintenance({ kind: 'begin_maintenance', call, fencingToken: 7 })
  t.like(vms.callers[0], { holder: 'a', fencingToken: 7 })
  t.deepEqual(events, [{ kind: 'maintenance_answered', call, answer: 'begun' }])
})

test('a process that was suspended and has lost its quorum lease does not call the VM interface', async t => {
  const vms = new RecordingVmPort()
  const { calls, events } = createCalls(vms, () => false)
  await calls.beginMaintenance({ kind: 'begin_maintenance', call, fencingToken: 7 })
  t.deepEqual(vms.callers, [])
  t.deepEqual(events, [{ kind: 'maintenance_answered', call, answer: 'failed' }])
})

test('the permission of a call that is under way ends with the leadership', async t => {
  const vms = new RecordingVmPort()
  let leads = true
  const { calls } = createCalls(vms, () => leads)
  await calls.beginMaintenance({ kind: 'begin_maintenance', call, fencingToken: 7 })
  t.true(vms.callers[0]?.isPermitted())
  leads = false
  t.false(vms.callers[0]?.isPermitted())
})

test('an unexpected error of a port counts as a call that was not made, and does not end the process', async t => {
  const { calls, events, warnings } = createCalls(new FailingVmPort(), () => true)
  await calls.beginMaintenance({ kind: 'begin_maintenance', call, fencingToken: 7 })
  await calls.requestTickets({ kind: 'ask_advice', stepKey: 'j.0.0', workerIds: ['w'], timeoutMs: 5_000 })
  t.deepEqual(events, [
    { kind: 'maintenance_answered', call, answer: 'failed' },
    { kind: 'advice', stepKey: 'j.0.0', tickets: undefined, requestedAtMs: 0, failedBy: 'program' }
  ])
  // The runs that look for faults of the program find it by the beginning of the line.
  t.true(warnings.length === 2 && warnings.every(message => message.startsWith(UNEXPECTED_ERROR)))
})

const settle = async (): Promise<void> => { await new Promise(resolve => { setImmediate(resolve) }) }
const askFor = (stepKey: string) => ({ kind: 'ask_advice', stepKey, workerIds: ['w'], timeoutMs: 5_000 }) as const

// Guards against tickets that count from a time at which their call still waits for that of an earlier leader, and
// against workers that count as denied because the answer to that call is taken for the one to the new call.
test('after a change of leader and back, a call waits for the one before, whose answer is not passed on', async t => {
  const advice = new WaitingAdvicePort()
  const { calls, events } = createCalls(new RecordingVmPort(), () => true, advice)
  const first = calls.requestTickets(askFor('j.0.0'))
  const unsent = calls.requestTickets(askFor('j.0.1'))
  await settle()
  calls.endLeadership()
  const second = calls.requestTickets(askFor('j.0.0'))
  await settle()
  t.deepEqual(advice.asked, ['j.0.0'])
  advice.answer()
  await first
  await unsent
  await settle()
  t.deepEqual(events, [])
  t.deepEqual(advice.asked, ['j.0.0', 'j.0.0'])
  advice.answer()
  await second
  t.is(events.length, 1)
})
