import test from 'ava'
import fc from 'fast-check'
import type { Rule } from './history.js'
import { Simulation, type Mutation } from './simulation.js'

interface Action {
  readonly kind: 'propose' | 'crash' | 'start' | 'cut' | 'isolate' | 'heal' | 'freeze' | 'lose_disk' | 'snapshot' |
  'step_down' | 'replace_running' | 'power_failure' | 'start_all'
  readonly target: number
  readonly other: number
  readonly isTwoWay: boolean
  readonly waitMs: number
}

interface Scenario {
  readonly seed: number
  readonly replicas: number
  readonly dropRate: number
  /** Small windows and messages, so that their bounds are reached. */
  readonly isTight: boolean
  readonly actions: readonly Action[]
}

const action: fc.Arbitrary<Action> = fc.record({
  kind: fc.constantFrom<Action['kind']>('propose', 'propose', 'propose', 'crash', 'start', 'start', 'cut', 'isolate',
    'heal', 'freeze', 'lose_disk', 'snapshot', 'step_down', 'replace_running',
    'power_failure', 'start_all', 'start_all'),
  target: fc.nat(5),
  other: fc.nat(4),
  isTwoWay: fc.boolean(),
  waitMs: fc.oneof(fc.integer({ min: 0, max: 60 }), fc.integer({ min: 100, max: 2_500 }))
})

const scenario: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  replicas: fc.constantFrom(3, 5),
  dropRate: fc.constantFrom(0, 0.05, 0.3),
  isTight: fc.boolean(),
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
    case 'replace_running': simulation.replaceRunning(node); break
    case 'power_failure': simulation.crashAll(); break
    case 'start_all': simulation.startAll(); break
  }
  simulation.run(waitMs)
}

/** Longer searches: HISTORY_SEED=2 HISTORY_RUNS=20000 npx ava packages/consensus/test/histories.test.ts */
const historySeed = Number(process.env['HISTORY_SEED'] ?? 20_261_204)
const historyRuns = Number(process.env['HISTORY_RUNS'] ?? 1_000)

const tight = { maxInflightAppends: 2, maxAppendEntries: 3, maxInflightBytes: 500, snapshotChunkBytes: 64 }

function violations ({ seed, replicas, dropRate, isTight, actions }: Scenario, mutation: Mutation) {
  const simulation = new Simulation({ seed, replicas, dropRate, mutation, settings: isTight ? tight : {} })
  simulation.run(2_000)
  for (const next of actions) perform(simulation, next)
  simulation.finish()
  return simulation.history.violations
}

const base = { target: 5, other: 4, isTwoWay: true }

/** Cases that random histories seldom reach; they run first. */
const examples: Array<[Scenario]> = [
  // A leader is frozen while the acknowledgements of its proposals are under way, until another leads.
  [{
    seed: 4,
    replicas: 3,
    dropRate: 0,
    isTight: false,
    actions: [
      { ...base, kind: 'propose', waitMs: 5 },
      { ...base, kind: 'freeze', waitMs: 2_500 }
    ]
  }],
  // The whole cluster loses power just after proposals.
  [{
    seed: 5,
    replicas: 3,
    dropRate: 0,
    isTight: false,
    actions: [
      { ...base, kind: 'propose', waitMs: 60 },
      { ...base, kind: 'power_failure', waitMs: 10 },
      { ...base, kind: 'start_all', waitMs: 2_000 },
      { ...base, kind: 'propose', waitMs: 500 }
    ]
  }],
  // A second voter is lost right after the replacement of another.
  [{
    seed: 6,
    replicas: 3,
    dropRate: 0,
    isTight: false,
    actions: [
      { ...base, kind: 'propose', waitMs: 60 },
      { ...base, kind: 'lose_disk', target: 1, waitMs: 1_200 },
      { ...base, kind: 'lose_disk', target: 2, waitMs: 60 }
    ]
  }]
]

test('no history of crashes, cuts, freezes, lost disks and transfers breaks a rule of the log', t => {
  t.notThrows(() => {
    fc.assert(fc.property(scenario, example => {
      const found = violations(example, 'none')
      if (found.length > 0) throw new Error(JSON.stringify(found.slice(0, 3)))
    }), { seed: historySeed, numRuns: historyRuns, examples })
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
      { seed: 7, numRuns: 400, endOnFailure: true, examples })
    t.true(result.failed)
  })
}
