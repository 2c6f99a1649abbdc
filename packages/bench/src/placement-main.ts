/** Command for the placement benchmark alone. */
import meow from 'meow'
import {
  REPORTED_SEEDS, TUNING_SEEDS, ablatedPolicies, comparedPolicies, formatRows, measurePolicy
} from './placement-bench.js'

const cli = meow(`
  Usage
    $ node --import=tsx --conditions=source packages/bench/src/placement-main.ts

  Options
    --part    policies | mechanisms
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
const chosenSeeds = seeds === 'reported' ? REPORTED_SEEDS : TUNING_SEEDS
const policies = part === 'mechanisms' ? [comparedPolicies()[0]!, ...ablatedPolicies()] : comparedPolicies()
console.log(formatRows(policies.map(policy => measurePolicy(policy, racks, chosenSeeds))))
