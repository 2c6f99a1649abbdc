import test from 'ava'
import fc from 'fast-check'
import type { Invariant } from './history-checker.js'
import { Simulation, type InjectedFault } from './simulation.js'

/**
 * One step of a scenario. `step_down` asks the leader to transfer leadership; `replace_running` replaces a voter that
 * still runs with an additional node.
 */
interface Action {
  readonly kind: 'propose' | 'crash' | 'start' | 'cut' | 'isolate' | 'heal' | 'freeze' | 'lose_disk' | 'snapshot' |
  'step_down' | 'replace_running' | 'power_failure' | 'start_all'
  /** Position of the affected node, modulo the number of nodes; 5 selects the current leader. */
  readonly target: number
  /** In `cut` the node at the other end of the link; in `propose` sets the number of proposals, 3 * `other` + 1. */
  readonly other: number
  readonly isTwoWay: boolean
  readonly waitMs: number
}

interface Scenario {
  readonly seed: number
  readonly replicas: number
  readonly messageFaultRate: number
  /** Sets small limits for in-flight appends and message sizes, so that they are reached. */
  readonly isTight: boolean
  readonly actions: readonly Action[]
}

const anyAction: fc.Arbitrary<Action> = fc.record({
  kind: fc.constantFrom<Action['kind']>('propose', 'propose', 'propose', 'crash', 'start', 'start', 'cut', 'isolate',
    'heal', 'freeze', 'lose_disk', 'snapshot', 'step_down', 'replace_running',
    'power_failure', 'start_all', 'start_all'),
  target: fc.nat(5),
  other: fc.nat(4),
  isTwoWay: fc.boolean(),
  waitMs: fc.oneof(fc.integer({ min: 0, max: 60 }), fc.integer({ min: 100, max: 2_500 }))
})

const anyScenario: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  replicas: fc.constantFrom(3, 5),
  messageFaultRate: fc.constantFrom(0, 0.05, 0.3),
  isTight: fc.boolean(),
  actions: fc.array(anyAction, { minLength: 5, maxLength: 40 })
})

/** Applies one action; target 5 selects the current leader, so that faults affect it often. */
function applyAction (simulation: Simulation, { kind, target, other, isTwoWay, waitMs }: Action): void {
  const node = target === 5 ? Math.max(0, simulation.leaderPosition) : target % simulation.nodes.length
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
    case 'step_down': simulation.transferLeadership(); break
    case 'replace_running': simulation.replaceWithAdditionalNode(node); break
    case 'power_failure': simulation.crashAll(); break
    case 'start_all': simulation.startAll(); break
  }
  simulation.run(waitMs)
}

/**
 * The default seed is arbitrary. For a longer search:
 * HISTORY_SEED=2 HISTORY_RUNS=20000 npx ava packages/consensus/test/histories.test.ts
 */
const historySeed = Number(process.env['HISTORY_SEED'] ?? 20_261_204)
const historyRuns = Number(process.env['HISTORY_RUNS'] ?? 1_000)

const tightLimits = { maxInflightAppends: 2, maxAppendEntries: 3, maxInflightBytes: 500, snapshotChunkBytes: 64 }

function findViolations ({ seed, replicas, messageFaultRate, isTight, actions }: Scenario, fault: InjectedFault) {
  const simulation = new Simulation({ seed, replicas, messageFaultRate, fault, settings: isTight ? tightLimits : {} })
  simulation.run(2_000)
  for (const next of actions) applyAction(simulation, next)
  simulation.finish()
  return simulation.history.violations
}

const actionDefaults = { target: 5, other: 4, isTwoWay: true }

/** Scenarios that are rarely generated at random; they run first. */
const examples: Array<[Scenario]> = [
  // The leader is frozen while acknowledgements of its proposals are in flight, until another leader is elected.
  [{
    seed: 4,
    replicas: 3,
    messageFaultRate: 0,
    isTight: false,
    actions: [
      { ...actionDefaults, kind: 'propose', waitMs: 5 },
      { ...actionDefaults, kind: 'freeze', waitMs: 2_500 }
    ]
  }],
  // The whole cluster loses power right after proposals.
  [{
    seed: 5,
    replicas: 3,
    messageFaultRate: 0,
    isTight: false,
    actions: [
      { ...actionDefaults, kind: 'propose', waitMs: 60 },
      { ...actionDefaults, kind: 'power_failure', waitMs: 10 },
      { ...actionDefaults, kind: 'start_all', waitMs: 2_000 },
      { ...actionDefaults, kind: 'propose', waitMs: 500 }
    ]
  }],
  // A second voter loses its disk right after another one was replaced.
  [{
    seed: 6,
    replicas: 3,
    messageFaultRate: 0,
    isTight: false,
    actions: [
      { ...actionDefaults, kind: 'propose', waitMs: 60 },
      { ...actionDefaults, kind: 'lose_disk', target: 1, waitMs: 1_200 },
      { ...actionDefaults, kind: 'lose_disk', target: 2, waitMs: 60 }
    ]
  }]
]

test('all invariants hold under crashes, cut links, freezes, disk losses, replacements and leadership transfers', t => {
  t.notThrows(() => {
    fc.assert(fc.property(anyScenario, example => {
      const found = findViolations(example, 'none')
      if (found.length > 0) throw new Error(JSON.stringify(found.slice(0, 3)))
    }), { seed: historySeed, numRuns: historyRuns, examples })
  })
})

const faults: ReadonlyArray<readonly [InjectedFault, Invariant]> = [
  ['persist_confirmed_before_sync', 'acknowledged_is_applied_once'],
  ['persist_confirmed_before_sync', 'committed_never_changes'],
  ['vote_always_granted', 'one_vote_per_term'],
  ['vote_always_granted', 'one_leader_per_term'],
  ['new_disk_adds_itself', 'only_voters_vote'],
  ['entry_applied_twice', 'applied_in_order'],
  ['log_time_reset_on_restart', 'log_time_never_decreases'],
  ['disk_id_reused_after_loss', 'one_vote_per_term'],
  ['clock_stops_while_frozen', 'deposed_leader_commits_nothing'],
  ['clock_stops_while_frozen', 'lease_is_exclusive'],
  ['replacement_assumed_complete', 'available_with_a_majority'],
  ['committed_reported_as_lost', 'rejected_is_never_applied']
]

for (const [fault, invariant] of faults) {
  test(`the check of ${invariant} detects the injected fault ${fault}, so that it cannot pass without checking anything`, t => {
    const violatesInvariant = (example: Scenario) =>
      findViolations(example, fault).some(found => found.invariant === invariant)
    const result = fc.check(fc.property(anyScenario, example => !violatesInvariant(example)),
      { seed: 7, numRuns: 400, endOnFailure: true, examples })
    t.true(result.failed)
  })
}
