import test from 'ava'
import { drawJobs, yardKinds } from '../src/batch-load.js'
import { batchScenarios, playScenario } from '../src/batch-bench.js'
import { simulateBatch } from '../src/batch-simulation.js'

test('a play repeats with its seed, so that its figures can be checked', t => {
  const [calm] = batchScenarios
  const play = () => playScenario(calm as NonNullable<typeof calm>, [3])
  t.deepEqual(play(), play())
})

test('an idle fleet serves every job in its objective, so that losses are due to load', t => {
  const kinds = yardKinds.map(kind => ({ ...kind, perSecond: kind.perSecond / 20 }))
  const jobs = drawJobs(5, kinds, 30_000, [])
  const { byKind, worthShare } = simulateBatch({ seed: 5, workers: 80, kinds, jobs, endsAtMs: 90_000 })
  t.is([...byKind.values()].reduce((sum, counts) => sum + counts.jobs, 0), jobs.length)
  t.is(worthShare, 1)
})
