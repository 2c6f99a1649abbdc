/** Command for the placement benchmark alone. */
import meow from 'meow'
import type { PlacementPolicy } from '@comfreygrade/placement'
import {
  REPORTED_SEEDS, TUNING_SEEDS, ablatedPolicies, comparedPolicies, formatRows, measurePolicy
} from './placement-bench.js'
import { formatDecisionTimes, measureDecisionTime } from './placement-decision-time.js'

const cli = meow(`
  Usage
    $ node --import=tsx --conditions=source packages/bench/src/placement-main.ts

  Options
    --part    policies | mechanisms | decision-time (with node's --expose-gc for the memory)
    --racks   racks of 8 workers with 8 accelerators (default 4)
    --seeds   tuning | reported (default tuning)
`, {
  importMeta: import.meta,
  flags: {
    part: { type: 'string', default: 'policies' },
    racks: { type: 'number', default: 4 },
    seeds: { type: 'string', default: 'tuning' }
  }
})

const { part, racks, seeds } = cli.flags
if (part === 'decision-time') printDecisionTimes()
else printPolicies(part === 'mechanisms' ? [comparedPolicies()[0]!, ...ablatedPolicies()] : comparedPolicies())

function printPolicies (policies: readonly PlacementPolicy[]): void {
  const chosenSeeds = seeds === 'reported' ? REPORTED_SEEDS : TUNING_SEEDS
  console.log(formatRows(policies.map(policy => measurePolicy(policy, racks, chosenSeeds))))
}

function printDecisionTimes (): void {
  const sizes = [30, 300, 3_000, 21_000]
  const rows = sizes.flatMap(workers => [measureDecisionTime(workers, 0), measureDecisionTime(workers, 35_000)])
  console.log(formatDecisionTimes(rows))
}
