/**
 * Guards the protocol of runs: no task runs twice at once or again after its completion was acknowledged, and every
 * job ends once the faults are over. `PROTOCOL_SEEDS=1-20000` runs more seeds.
 */
import test from 'ava'
import { simulateProtocol } from './protocol-simulation.js'

const DEFAULT_SEEDS = '1-60'

function chosenSeeds (): number[] {
  const [first, last] = (process.env.PROTOCOL_SEEDS ?? DEFAULT_SEEDS).split('-').map(Number) as [number, number]
  return Array.from({ length: last - first + 1 }, (_, index) => first + index)
}

test('random interleavings of two leaders and two workers break no promise of the run protocol', t => {
  t.timeout(600_000)
  const violations = chosenSeeds().flatMap(seed => simulateProtocol(seed).map(violation => `seed ${seed}: ${violation}`))
  t.deepEqual(violations, [])
})
