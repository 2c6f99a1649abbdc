/** Command line for the placement benchmark and the measurement of decision times. */
import meow from 'meow'
import type { PlacementPolicy } from '@comfreygrade/placement'
import {
  type PolicyRow, REPORTED_SEEDS, TUNING_SEEDS, comparedPolicies, formatDifferences, formatRows, measurePolicy,
  policiesWithoutOneMechanism
} from './placement-bench.js'
import { formatDecisionTimes, measureDecisionTime } from './placement-decision-time.js'

const cli = meow(`
  Usage
    $ node --import=tsx --conditions=source packages/bench/src/placement-main.ts

  Options
    --part    policies | mechanisms | decision-time (default policies; decision-time needs --expose-gc to measure memory)
    --racks   number of racks with 8 workers of 8 accelerators (default 4)
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
const chosenSeeds = seeds === 'reported' ? REPORTED_SEEDS : TUNING_SEEDS
if (part === 'decision-time') printDecisionTimes()
else if (part === 'mechanisms') console.log(formatDifferences(measurePolicies([comparedPolicies()[0]!, ...policiesWithoutOneMechanism()])))
else console.log(formatRows(measurePolicies(comparedPolicies())))

function measurePolicies (policies: readonly PlacementPolicy[]): PolicyRow[] {
  return policies.map(policy => measurePolicy(policy, racks, chosenSeeds))
}

/** Prints the rows of each size as soon as they are measured, as the deep queues take minutes. */
function printDecisionTimes (): void {
  for (const workers of [30, 300, 3_000, 21_000]) {
    const rows = [measureDecisionTime(workers, 0), measureDecisionTime(workers, 35_000)]
    console.log(formatDecisionTimes(rows))
  }
}
