import test from 'ava'
import fc from 'fast-check'
import type { Rule } from './history.js'
import { Simulation, type Mutation } from './simulation.js'

interface Action {
  readonly kind: 'propose' | 'crash' | 'start' | 'cut' | 'isolate' | 'heal' | 'freeze' | 'lose_disk' | 'snapshot' |
  'step_down' | 'power_failure' | 'start_all'
  readonly target: number
  readonly other: number
  readonly isTwoWay: boolean
  readonly waitMs: number
}

interface Scenario {
  readonly seed: number
  readonly replicas: number
  readonly dropRate: number
  readonly actions: readonly Action[]
}

const action: fc.Arbitrary<Action> = fc.record({
  kind: fc.constantFrom<Action['kind']>('propose', 'propose', 'propose', 'crash', 'start', 'start', 'cut', 'isolate',
    'heal', 'freeze', 'lose_disk', 'snapshot', 'step_down', 'power_failure', 'start_all', 'start_all'),
  target: fc.nat(5),
  other: fc.nat(4),
  isTwoWay: fc.boolean(),
  waitMs: fc.oneof(fc.integer({ min: 0, max: 60 }), fc.integer({ min: 100, max: 2_500 }))
})

const scenario: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  replicas: fc.constantFrom(3, 5),
  dropRate: fc.constantFrom(0, 0.05, 0.3),
  actions: fc.array(action, { minLength: 5, maxLength: 40 })
})

/** Target 5 stands for the leader, so that faults hit it often. */
function perform (simulation: Simulation, { kind, target, other, isTwoWay, waitMs }: Action): void {
  const node = target === 5 ? Math.max(0, simulation.leaderNumber) : target % simulation.nodes.length
  switch (kind) {
    case 'propose':
      for (let i = 0; i <= other * 3; i++) simulation.propose()
      break
    case 'crash': simulation.crash(node); break
    case 'start': simulation.start(node); break
    case 'cut': simulation.cut(node, other, isTwoWay); break
    case 'isolate': simulation.isolate(node); break
    case 'heal': simulation.heal(); break
    case 'freeze': simulation.freeze(node, waitMs); break
    case 'lose_disk': simulation.loseDisk(node); break
    case 'snapshot': simulation.snapshot(node); break
    case 'step_down': simulation.stepDown(); break
    case 'power_failure': simulation.crashAll(); break
    case 'start_all': simulation.startAll(); break
  }
  simulation.run(waitMs)
}

function violations ({ seed, replicas, dropRate, actions }: Scenario, mutation: Mutation) {
  const simulation = new Simulation({ seed, replicas, dropRate, mutation })
  simulation.run(2_000)
  for (const next of actions) perform(simulation, next)
  simulation.finish()
  return simulation.history.violations
}

test('no history of crashes, cuts, freezes, lost disks and transfers breaks a rule of the log', t => {
  t.notThrows(() => {
    fc.assert(fc.property(scenario, example => {
      const found = violations(example, 'none')
      if (found.length > 0) throw new Error(JSON.stringify(found.slice(0, 3)))
    }), { seed: Number(process.env['HISTORY_SEED'] ?? 20_261_204), numRuns: Number(process.env['HISTORY_RUNS'] ?? 1_000) })
  })
})

const mutations: ReadonlyArray<readonly [Mutation, Rule]> = [
  ['persisted_before_sync', 'acknowledged_survives'],
  ['persisted_before_sync', 'committed_is_final'],
  ['vote_always_granted', 'one_vote_per_term'],
  ['vote_always_granted', 'one_leader_per_term'],
  ['new_disk_adds_itself', 'only_voters_vote'],
  ['entry_applied_twice', 'applied_in_order'],
  ['log_time_forgotten', 'log_time_never_decreases'],
  ['former_disk_id_kept', 'one_vote_per_term'],
  ['clock_stops_while_frozen', 'old_leader_commits_nothing'],
  ['clock_stops_while_frozen', 'lease_is_exclusive'],
  ['accepted_counts_as_replaced', 'available_with_a_majority'],
  ['lost_reported_early', 'rejected_has_no_effect']
]

for (const [mutation, rule] of mutations) {
  test(`the check ${rule} catches the fault ${mutation}, so it cannot pass by checking nothing`, t => {
    const breaksRule = (example: Scenario) => violations(example, mutation).some(found => found.rule === rule)
    const result = fc.check(fc.property(scenario, example => !breaksRule(example)),
      { seed: 7, numRuns: 400, endOnFailure: true })
    t.true(result.failed)
  })
}
