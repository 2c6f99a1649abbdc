/** Command line for the routing benchmark alone; `main.ts` runs it with the others. */
import meow from 'meow'
import { formatRoutingBench, runRoutingBench, variants } from './routing-bench.js'
import type { Deployment } from './routing-load.js'

const cli = meow(`
  Usage: routing-main [--deployment ferreyra|kartli] [--size 1] [--variants a,b] [--first-seed 101] [--last-seed 110]
                      [--settings '{"reservedShortSlots":1}']

  Variants: ${variants.map(each => each.name).join(', ')}
`, {
  importMeta: import.meta,
  flags: {
    deployment: { type: 'string', default: 'ferreyra', choices: ['ferreyra', 'kartli'] },
    size: { type: 'number', default: 1 },
    variants: { type: 'string', default: 'locality,round_robin' },
    firstSeed: { type: 'number', default: 101 },
    lastSeed: { type: 'number', default: 110 },
    settings: { type: 'string', default: '{}' }
  }
})

const { deployment, size, variants: names, firstSeed, lastSeed, settings } = cli.flags
console.log(formatRoutingBench(runRoutingBench({
  deployment: deployment as Deployment,
  size,
  variants: names.split(','),
  firstSeed,
  lastSeed,
  settings: JSON.parse(settings)
})))
