import test from 'ava'
import fc from 'fast-check'
import { diffDocument, emptyConfiguration, type ConfigurationChange } from '@comfreygrade/core'
import {
  ControlState, defaultControlStateSettings,
  type ControlCommand, type ControlSnapshot, type ControlStateSettings
} from '../src/index.js'
import { FakeValidator } from './fake-scheduler.js'
import { inventory, job, stateOptions } from './simulation.js'

const HOUR_MS = 3_600_000
const settings: ControlStateSettings = {
  ...defaultControlStateSettings,
  claimRetentionMs: HOUR_MS,
  claimMaxAheadMs: HOUR_MS,
  claimAnswerMaxBytes: 8,
  claimAnswersTotalMaxBytes: 20,
  maxClaims: 12,
  maxClaimsPerOrganisation: 8,
  endedJobRetentionMs: HOUR_MS,
  maxEndedJobs: 3,
  maxRecentChanges: 4,
  maxChangeDigests: 6
}
const options = { settings, validator: new FakeValidator(3) }
const START_MS = 1_700_000_000_000

/** Applies commands to a state at increasing log positions. */
class CommandLog {
  state = new ControlState(options)
  index = 0
  logTimeMs = START_MS

  apply (command: ControlCommand) {
    this.index += 1
    return this.state.apply(command, this.index, this.logTimeMs)
  }
}

function configuredLog (): CommandLog {
  const log = new CommandLog()
  log.apply({ kind: 'apply_configuration', change: diffDocument(emptyConfiguration(), inventory(3)) })
  return log
}

function logWithJob (): CommandLog {
  const log = configuredLog()
  for (const workerId of ['w0', 'w1', 'w2']) log.apply(workerState(workerId, 'active', 1))
  log.apply({ kind: 'submit_job', spec: job('j0') })
  return log
}

function workerState (workerId: string, state: 'active' | 'lost' | 'draining', incarnation: number): ControlCommand {
  return { kind: 'worker_state', workerId, state, incarnation, address: `http://${workerId}` }
}

function place (jobId: string, workerIds: string[], firstAccelerator = 0, acceleratorCount = 4): ControlCommand {
  const tasks = workerIds.map((workerId, taskIndex) => ({ taskIndex, workerId, firstAccelerator, acceleratorCount }))
  return { kind: 'place_job', jobId, placement: { capacityClass: 'lent', reason: 'test', tasks } }
}

function keyAt (issuedMs: number, number = 0): string {
  const time = issuedMs.toString(16).padStart(12, '0')
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${number.toString(16).padStart(12, '0')}`
}

let claimantCount = 0

/** Creates a claim by a new claimant. */
function claim (key: string, digest = 'd1', organisationId = 'o1'): ControlCommand {
  return { kind: 'claim_request', organisationId, key, digest, claimantId: `request-${claimantCount++}` }
}

/** Creates a settlement by the claimant that holds the claim. */
function settle (log: CommandLog, key: string, state: 'completed' | 'not_run' | 'unknown', bytes = 0): ControlCommand {
  const claimantId = log.state.claim('o1', key)?.claimantId ?? ''
  const answer = bytes === 0 ? null : { status: 200, contentType: 'text/plain', body: new Uint8Array(bytes) }
  return { kind: 'settle_claim', organisationId: 'o1', key, claimantId, state, answer }
}

function resultKind (result: ReturnType<ControlState['apply']>): string {
  if (result.kind === 'claimed') return result.granted ? 'granted' : 'known'
  return result.kind === 'refused' ? result.failure.kind : result.kind
}

test('late and duplicate life cycle commands are refused, so that a command for an old placement never changes a newer one', t => {
  const log = logWithJob()
  t.is(resultKind(log.apply(place('j0', ['w0', 'w1']))), 'done')
  const leaseId = log.index
  t.is(resultKind(log.apply(place('j0', ['w1', 'w2']))), 'stale_term')
  t.is(resultKind(log.apply({ kind: 'start_job', jobId: 'j0', leaseId: leaseId - 1 })), 'stale_term')
  t.is(resultKind(log.apply({ kind: 'start_job', jobId: 'j0', leaseId })), 'done')
  t.is(resultKind(log.apply({ kind: 'start_job', jobId: 'j0', leaseId })), 'stale_term')
  t.is(resultKind(log.apply({ kind: 'requeue_job', jobId: 'j0', leaseId, reason: '' })), 'stale_term')
  t.is(resultKind(log.apply({ kind: 'end_job', jobId: 'j0', leaseId, outcome: 'cancelled', reason: '' })), 'stale_term')
  t.is(log.state.job('j0')?.starts, 1)
})

test('a placement is refused on allocated cells, on a lost, draining or unknown worker, and for part of a gang', t => {
  const log = logWithJob()
  log.apply({ kind: 'submit_job', spec: job('j1') })
  log.apply(place('j0', ['w0', 'w1']))
  t.is(resultKind(log.apply(place('j1', ['w1', 'w2']))), 'invalid_request')
  t.is(resultKind(log.apply(place('j1', ['w2']))), 'invalid_request')
  t.is(resultKind(log.apply(place('j1', ['w2', 'w2']))), 'invalid_request')
  t.is(resultKind(log.apply(place('j1', ['w2', 'w9']))), 'invalid_request')
  t.is(resultKind(log.apply(place('j1', ['w2', 'w2'], 2))), 'invalid_request')
  log.apply(workerState('w2', 'lost', 1))
  log.apply({ kind: 'submit_job', spec: job('j2', { tasks: 1 }) })
  t.is(resultKind(log.apply(place('j2', ['w2']))), 'invalid_request')
  log.apply(workerState('w2', 'active', 1))
  log.apply({ kind: 'set_drain', drain: { kind: 'worker', id: 'w2' }, isDraining: true })
  t.is(resultKind(log.apply(place('j2', ['w2']))), 'invalid_request')
  log.apply({ kind: 'set_drain', drain: { kind: 'worker', id: 'w2' }, isDraining: false })
  t.is(resultKind(log.apply(place('j2', ['w2']))), 'done')
})

test('a started non-repeatable job cannot be requeued, and a cancellation replaces a requeue but not the reverse', t => {
  const log = logWithJob()
  log.apply({ kind: 'submit_job', spec: job('once', { preemption: 'none', tasks: 1 }) })
  log.apply(place('once', ['w2']))
  const leaseId = log.index
  log.apply({ kind: 'start_job', jobId: 'once', leaseId })
  const stop = { kind: 'stop_job', jobId: 'once', leaseId, reason: '', isCheckpoint: false } as const
  t.is(resultKind(log.apply({ ...stop, then: 'requeue' })), 'invalid_request')
  t.is(resultKind(log.apply({ ...stop, then: 'failed' })), 'done')
  t.is(resultKind(log.apply({ ...stop, then: 'cancelled' })), 'stale_term')
  log.apply(place('j0', ['w0', 'w1']))
  const other = { ...stop, jobId: 'j0', leaseId: log.index }
  t.is(resultKind(log.apply({ ...other, then: 'requeue' })), 'done')
  t.is(resultKind(log.apply({ ...other, then: 'cancelled' })), 'done')
  t.is(resultKind(log.apply({ ...other, then: 'requeue' })), 'stale_term')
  t.is(resultKind(log.apply({ kind: 'requeue_job', jobId: 'j0', leaseId: other.leaseId, reason: '' })), 'stale_term')
})

test('ended jobs are removed beyond the retention period or the maximum count, and open jobs are kept', t => {
  const log = logWithJob()
  for (let number = 1; number <= 5; number += 1) {
    log.apply({ kind: 'submit_job', spec: job(`j${number}`) })
    log.apply({ kind: 'end_job', jobId: `j${number}`, leaseId: 0, outcome: 'cancelled', reason: '' })
  }
  t.deepEqual([...log.state.jobs()].map(({ spec }) => spec.jobId), ['j0', 'j3', 'j4', 'j5'])
  log.logTimeMs += HOUR_MS
  log.apply({ kind: 'clock' })
  t.deepEqual([...log.state.jobs()].map(({ spec }) => spec.jobId), ['j0'])
})

test('submitting a job twice is idempotent regardless of field order, and a different specification is refused', t => {
  const log = logWithJob()
  const reordered = Object.fromEntries(Object.entries(job('j0')).reverse()) as ReturnType<typeof job>
  t.is(resultKind(log.apply({ kind: 'submit_job', spec: reordered })), 'done')
  t.is(resultKind(log.apply({ kind: 'submit_job', spec: job('j0', { tasks: 1 }) })), 'job_exists')
  t.is([...log.state.jobs()].length, 1)
})

test('a claim is refused for a malformed, reused, expired or future key or an unknown organisation, and keys are case-insensitive', t => {
  const log = configuredLog()
  const key = keyAt(START_MS, 0xab)
  t.is(resultKind(log.apply(claim(key))), 'granted')
  t.is(resultKind(log.apply(claim(key.toUpperCase()))), 'known')
  t.is(resultKind(log.apply(claim(key, 'other'))), 'key_reused')
  t.is(resultKind(log.apply(claim(key.replace('-7', '-4')))), 'key_invalid')
  t.is(resultKind(log.apply(claim(key.replace('-8', '-c')))), 'key_invalid')
  t.is(resultKind(log.apply(claim(key + '0'))), 'key_invalid')
  t.is(resultKind(log.apply(claim(keyAt(START_MS + 2 * HOUR_MS)))), 'key_invalid')
  t.is(resultKind(log.apply(claim(keyAt(START_MS - HOUR_MS)))), 'key_expired')
  t.is(resultKind(log.apply(claim(keyAt(START_MS), 'd1', 'nobody'))), 'unknown_organisation')
})

test('claims above the limit of an organisation are refused, and existing claims are still answered', t => {
  const log = configuredLog()
  for (let number = 0; number < 8; number += 1) t.is(resultKind(log.apply(claim(keyAt(START_MS, number)))), 'granted')
  t.is(resultKind(log.apply(claim(keyAt(START_MS, 8)))), 'quota_exceeded')
  t.is(resultKind(log.apply(claim(keyAt(START_MS, 7)))), 'known')
})

test('recorded answers are limited individually and in total, and a claim stays completed without its answer', t => {
  const log = configuredLog()
  const keys = [0, 1, 2, 3].map(number => keyAt(START_MS, number))
  keys.forEach((key, number) => {
    log.apply(claim(key))
    log.apply(settle(log, key, 'completed', number === 3 ? 9 : 8))
  })
  const views = keys.map(key => log.state.claim('o1', key))
  t.deepEqual(views.map(view => view?.state), ['completed', 'completed', 'completed', 'completed'])
  t.deepEqual(views.map(view => view?.answer?.body.length), [undefined, 8, 8, undefined])
})

test('a final settlement cannot be replaced, so that a late settlement changes no answer', t => {
  const log = configuredLog()
  const key = keyAt(START_MS)
  log.apply(claim(key))
  t.is(resultKind(log.apply(settle(log, key, 'unknown'))), 'done')
  t.is(resultKind(log.apply(settle(log, key, 'completed', 4))), 'done')
  t.is(resultKind(log.apply(settle(log, key, 'unknown'))), 'done')
  t.is(resultKind(log.apply(settle(log, key, 'not_run'))), 'invalid_request')
  t.is(log.state.claim('o1', key)?.state, 'completed')
})

type Transform = (snapshot: ControlSnapshot) => ControlSnapshot
const unchanged: Transform = snapshot => snapshot

test('a claim that is not settled within the maximum deadline is shown as unknown and can still be settled', t => {
  const log = configuredLog()
  const key = keyAt(START_MS)
  log.apply(claim(key))
  t.is(log.state.claimView('o1', key)?.state, 'pending')
  log.logTimeMs += log.state.configuration.rules.maxDeadlineMs + 1
  t.like(log.apply(claim(key)), { granted: false, claim: { state: 'unknown' } })
  log.apply(settle(log, key, 'completed'))
  t.is(log.state.claimView('o1', key)?.state, 'completed')
})

/**
 * Claims a few keys at irregular times and returns the keys that were granted twice. The random elapsed time also
 * determines whether and how a claim is settled, and whether the state is restored from a snapshot.
 */
function findDoubleGrants (steps: ReadonlyArray<readonly [number, number]>, transform = unchanged): string[] {
  const log = configuredLog()
  const granted = new Set<string>()
  const grantedTwice: string[] = []
  for (const [number, elapsedMs] of steps) {
    log.logTimeMs += elapsedMs
    const key = keyAt(START_MS + number * 600_000, number)
    if (resultKind(log.apply(claim(key))) === 'granted') {
      if (granted.has(key)) grantedTwice.push(key)
      granted.add(key)
    }
    const state = elapsedMs % 2 === 0 ? 'not_run' : 'unknown'
    const isSettled = elapsedMs % 3 === 0 && resultKind(log.apply(settle(log, key, state))) === 'done'
    // A request that certainly did not run may be granted again.
    if (isSettled && state === 'not_run') granted.delete(key)
    if (elapsedMs % 5 === 0) log.state = ControlState.restore(transform(log.state.snapshot()), options)
  }
  return grantedTwice
}

const claimSteps = fc.array(fc.tuple(fc.integer({ min: -6, max: 8 }), fc.nat(HOUR_MS / 2)), { maxLength: 60 })

test('a key is granted once across repeats, restores and expiry unless its request certainly did not run', t => {
  fc.assert(fc.property(claimSteps, steps => findDoubleGrants(steps).length === 0), { seed: 7, numRuns: 500 })
  t.pass()
})

test('the check for double grants detects claims that are removed too early', t => {
  const dropClaims: Transform = snapshot => ({ ...snapshot, claims: [] })
  t.true(fc.check(fc.property(
    claimSteps, steps => findDoubleGrants(steps, dropClaims).length === 0
  ), { seed: 7 }).failed)
})

function weightChange (version: number, weight: number): ConfigurationChange {
  const record = { organisationId: 'o1', quotaAccelerators: 100, weight }
  return { version, baseVersion: version - 1, upserts: [{ kind: 'organisation', record }], removes: [] }
}

/**
 * Applies changes of racing operators and returns versions that decreased, were accepted with two contents, or were
 * refused on resend although their digest, one of the last 6, is still kept. The random weight also determines whether
 * the state is restored from a snapshot.
 */
function findVersionErrors (steps: ReadonlyArray<readonly [number, number]>, transform = unchanged): string[] {
  const log = configuredLog()
  const accepted = new Map<number, number>()
  const problems: string[] = []
  for (const [offset, weight] of steps) {
    const before = log.state.configuration.version
    const version = before + offset
    const result = resultKind(log.apply({ kind: 'apply_configuration', change: weightChange(version, weight) }))
    if (result === 'done' && (accepted.get(version) ?? weight) !== weight) problems.push(`version ${version} has two contents`)
    if (result === 'done') accepted.set(version, weight)
    else if (accepted.get(version) === weight && offset > -5) problems.push(`version ${version} is refused on resend: ${result}`)
    if (weight % 4 === 0) log.state = ControlState.restore(transform(log.state.snapshot()), options)
    if (log.state.configuration.version < before) problems.push(`version ${before} was replaced by an older one`)
  }
  return problems
}

const changeStep = fc.tuple(fc.integer({ min: -7, max: 2 }), fc.integer({ min: 1, max: 5 }))
const changeSteps = fc.array(changeStep, { maxLength: 60 })

test('one of several racing changes of a version is accepted, resends get the same answer, and no version decreases', t => {
  fc.assert(fc.property(changeSteps, steps => findVersionErrors(steps).length === 0), { seed: 11, numRuns: 500 })
  t.pass()
})

test('the check for version errors detects a restore that lowers the version', t => {
  const dropLastChange: Transform = snapshot => {
    const version = Math.max(1, snapshot.configuration.version - 1)
    return { ...snapshot, configuration: { ...snapshot.configuration, version } }
  }
  t.true(fc.check(fc.property(
    changeSteps, steps => findVersionErrors(steps, dropLastChange).length === 0
  ), { seed: 11 }).failed)
})

test('a conflict names the version in force, and a version whose digest is no longer kept is refused', t => {
  const log = configuredLog()
  for (let version = 2; version <= 10; version += 1) log.apply({ kind: 'apply_configuration', change: weightChange(version, version) })
  const conflict = log.apply({ kind: 'apply_configuration', change: weightChange(9, 3) })
  t.regex(conflict.kind === 'refused' ? conflict.failure.detail : '', /version 10 is in force/)
  t.is(resultKind(log.apply({ kind: 'apply_configuration', change: weightChange(5, 5) })), 'done')
  t.is(resultKind(log.apply({ kind: 'apply_configuration', change: weightChange(4, 4) })), 'version_conflict')
  t.is(resultKind(log.apply({ kind: 'apply_configuration', change: weightChange(12, 1) })), 'version_gap')
})

test('guarantees that the inventory cannot satisfy are refused and leave the version unchanged', t => {
  const log = configuredLog()
  const guarantee = (cells: number): ConfigurationChange => ({
    version: 2,
    baseVersion: 1,
    upserts: [{
      kind: 'guarantee',
      record: { guaranteeId: 'g1', organisationId: 'o1', acceleratorModel: 'gpu', acceleratorsPerCell: 4, cells }
    }],
    removes: []
  })
  t.is(resultKind(log.apply({ kind: 'apply_configuration', change: guarantee(4) })), 'guarantee_unsatisfiable')
  t.is(log.state.configuration.version, 1)
  t.is(resultKind(log.apply({ kind: 'apply_configuration', change: guarantee(3) })), 'done')
})

test('changesSince returns the missing changes, and undefined if they are no longer kept', t => {
  const log = configuredLog()
  for (let version = 2; version <= 8; version += 1) log.apply({ kind: 'apply_configuration', change: weightChange(version, 1) })
  t.deepEqual(log.state.changesSince(6)?.map(({ version }) => version), [7, 8])
  t.deepEqual(log.state.changesSince(8), [])
  t.is(log.state.changesSince(3), undefined)
  t.is(log.state.changesSince(9), undefined)
})

const WORKER_IDS = ['w0', 'w1', 'w2', 'w3']

/** Encoded commands for a few jobs, workers and keys, many of them late, duplicate or invalid. */
const commandEntries = fc.array(fc.tuple(fc.nat(13), fc.nat(5), fc.nat(20), fc.nat(HOUR_MS / 4)), { maxLength: 120 })

function toCommand (
  log: CommandLog,
  [kind, target, variant]: readonly [number, number, number, number]
): ControlCommand {
  const jobId = `j${target}`
  const leaseId = variant === 0 ? 1 : log.state.job(jobId)?.leaseId ?? 0
  const workerId = WORKER_IDS[target % 4] ?? 'w0'
  const key = keyAt(START_MS + variant * 60_000, target)
  switch (kind) {
    case 0: return { kind: 'apply_configuration', change: weightChange(log.state.configuration.version + variant % 3, variant + 1) }
    case 1: return { kind: 'submit_job', spec: job(jobId, { tasks: 1 + target % 2, preemption: target % 3 === 0 ? 'none' : 'repeat' }) }
    case 2: return place(jobId, target % 2 === 0 ? [workerId] : ['w0', 'w1'], variant % 2 * 2, variant % 3 === 0 ? 2 : 4)
    case 3: return { kind: 'start_job', jobId, leaseId }
    case 4: return { kind: 'job_running', jobId, leaseId }
    case 5: return { kind: 'stop_job', jobId, leaseId, reason: '', isCheckpoint: false, then: variant % 2 === 0 ? 'requeue' : 'cancelled' }
    case 6: return { kind: 'requeue_job', jobId, leaseId, reason: '' }
    case 7: return { kind: 'end_job', jobId, leaseId, outcome: variant % 2 === 0 ? 'completed' : 'cancelled', reason: '' }
    case 8: case 9: return workerState(workerId, variant === 1 ? 'lost' : 'active', 1 + variant % 2)
    case 10: return { kind: 'set_drain', drain: { kind: 'worker', id: workerId }, isDraining: variant % 2 === 0 }
    case 11: return claim(key, variant % 7 === 0 ? 'other' : 'd1')
    case 12: return settle(log, key, variant % 2 === 0 ? 'completed' : 'unknown', target + 3)
    default: return variant < 10
      ? { kind: 'clock' }
      : { kind: 'apply_configuration', change: { ...weightChange(log.state.configuration.version + 1, 1), removes: [{ kind: 'worker', id: workerId }] } }
  }
}

/** Applies commands to a state that is restored after each of them, and compares it with a replayed state. */
function findDifference (
  entries: ReadonlyArray<Parameters<typeof toCommand>[1]>,
  transform = unchanged
): string | undefined {
  const replayed = configuredLog()
  let restored = ControlState.restore(replayed.state.snapshot(), options)
  for (const entry of entries) {
    replayed.logTimeMs += entry[3]
    const command = toCommand(replayed, entry)
    const expected = replayed.apply(command)
    const found = restored.apply(command, replayed.index, replayed.logTimeMs)
    const snapshot = restored.snapshot()
    const isSame = fc.stringify([expected, replayed.state.snapshot()]) === fc.stringify([found, snapshot])
    if (!isSame) return `different after entry ${replayed.index}, ${command.kind}`
    restored = ControlState.restore(structuredClone(transform(snapshot)), options)
  }
  return undefined
}

test('a state restored from a snapshot after every entry equals the state of a replay', t => {
  fc.assert(fc.property(commandEntries, list => findDifference(list) === undefined), { seed: 23, numRuns: 200 })
  t.pass()
})

test('the comparison with a replay detects a snapshot without its drains', t => {
  const dropDrains: Transform = snapshot => ({ ...snapshot, drains: [] })
  t.true(fc.check(fc.property(
    commandEntries, list => findDifference(list, dropDrains) === undefined
  ), { seed: 23 }).failed)
})

/** Returns the accelerators that the state allocates to two jobs. */
function findDoubleAllocations (state: ControlState): string[] {
  const jobByAccelerator = new Map<string, string>()
  const problems: string[] = []
  for (const { spec, placement } of state.jobs()) {
    for (const { workerId, firstAccelerator, acceleratorCount } of placement?.tasks ?? []) {
      for (let offset = 0; offset < acceleratorCount; offset += 1) {
        const accelerator = `${workerId}/${firstAccelerator + offset}`
        if (jobByAccelerator.has(accelerator)) problems.push(`${accelerator} is allocated to ${jobByAccelerator.get(accelerator)} and ${spec.jobId}`)
        jobByAccelerator.set(accelerator, spec.jobId)
      }
    }
  }
  return problems
}

test('no sequence of commands allocates an accelerator to two jobs or starts a non-repeatable job twice', t => {
  fc.assert(fc.property(commandEntries, list => {
    const log = configuredLog()
    for (const entry of list) {
      log.apply(toCommand(log, entry))
      const isStartedOnce = [...log.state.jobs()].every(({ spec, starts }) => spec.preemption !== 'none' || starts <= 1)
      if (findDoubleAllocations(log.state).length > 0 || !isStartedOnce) return false
    }
    return true
  }), { seed: 29, numRuns: 300 })
  t.pass()
})

test('the check for double allocations detects a placement that was not validated', t => {
  const log = logWithJob()
  log.apply(place('j0', ['w0', 'w1']))
  const snapshot = log.state.snapshot()
  const copies = snapshot.jobs.map(record => ({ ...record, spec: job('copy') }))
  const state = ControlState.restore({ ...snapshot, jobs: [...snapshot.jobs, ...copies] }, stateOptions)
  t.not(findDoubleAllocations(state).length, 0)
})
