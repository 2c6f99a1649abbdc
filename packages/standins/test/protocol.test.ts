/**
 * Guards the protocol of runs: no task runs twice at once, or again after its completion was acknowledged or while its
 * worker keeps its lease, and every job ends once the faults are over. `PROTOCOL_SEEDS=1-20000` runs more seeds of each
 * profile, and `PROTOCOL_PROFILE=long_runs` only those of one. `PROTOCOL_TRACE=7` prints what happens in seed 7.
 */
import test from 'ava'
import { LONG_RUNS, RECURRING_JOBS, SHORT_RUNS, WHOLE_SYSTEM, type ProtocolProfile } from './protocol-profile.js'
import { simulateProtocol, traceProtocol } from './protocol-simulation.js'

const { PROTOCOL_PROFILE, PROTOCOL_SEEDS, PROTOCOL_TRACE } = process.env

/** Violations of the seeds from the environment, or else of the given ones; a trace counts as one. */
function violationsOf (profile: ProtocolProfile, defaultSeeds: string): string[] {
  if (PROTOCOL_TRACE !== undefined) return traceProtocol(profile, Number(PROTOCOL_TRACE))
  const [first, last] = (PROTOCOL_SEEDS ?? defaultSeeds).split('-').map(Number) as [number, number]
  const seeds = Array.from({ length: last - first + 1 }, (_, index) => first + index)
  return seeds.flatMap(seed => simulateProtocol(profile, seed).map(violation => `seed ${seed}: ${violation}`))
}

function isChosen (name: string): boolean {
  return PROTOCOL_PROFILE === undefined || PROTOCOL_PROFILE === name
}

if (isChosen('short_runs')) {
  test('random interleavings of two leaders and two workers break no promise of the run protocol', t => {
    t.timeout(600_000)
    t.deepEqual(violationsOf(SHORT_RUNS, '1-60'), [])
  })
}

if (isChosen('long_runs')) {
  test('random interleavings of runs longer than a lease break no promise of the run protocol', t => {
    t.timeout(600_000)
    t.deepEqual(violationsOf(LONG_RUNS, '1-15'), [])
  })
}

if (isChosen('whole_system')) {
  test('random interleavings of all that the simulation plays break no promise of the run protocol', t => {
    t.timeout(600_000)
    t.deepEqual(violationsOf(WHOLE_SYSTEM, '1-10'), [])
  })
}

if (isChosen('recurring_jobs')) {
  test('random interleavings with many due occurrences break no promise of the run protocol', t => {
    t.timeout(600_000)
    t.deepEqual(violationsOf(RECURRING_JOBS, '1-10'), [])
  })
}
