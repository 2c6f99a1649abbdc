import test from 'ava'
import { BuddyCellPolicy, FirstFitPolicy, defaultPlacementSettings } from '@comfreygrade/placement'
import { benchLoadSettings, quantile } from '../src/placement-bench.js'
import { generateLoad } from '../src/placement-load.js'
import { simulate } from '../src/placement-simulation.js'

const settings = { ...benchLoadSettings(4), durationMs: 4 * 3_600_000 }

test('the placement simulation gives the same results when run again with the same seed', t => {
  const runs = [1, 2].map(() => simulate(generateLoad(settings, 3), new BuddyCellPolicy(), defaultPlacementSettings))
  t.deepEqual(runs[0], runs[1])
})

test('every job has a result, none starts before its submission or completes before its run time, and utilisation is a share', t => {
  for (const policy of [new BuddyCellPolicy(), new FirstFitPolicy()]) {
    const load = generateLoad(settings, 4)
    const result = simulate(load, policy, defaultPlacementSettings)
    t.is(result.jobs.length, load.jobs.length)
    t.true(result.jobs.every(job => (job.waitMs ?? 0) >= 0))
    t.true(result.jobs.every(job => job.outcome !== 'completed' || job.completionMs! >= job.job.actualRunMs))
    t.true(result.utilisation > 0 && result.utilisation <= 1)
  }
})

test('two of the four organisations submit about 80 % of the jobs', t => {
  const jobs = [1, 2, 3, 4, 5].flatMap(seed => generateLoad(benchLoadSettings(4), seed).jobs)
  const ofLargeOrganisations = jobs.filter(job => ['o1', 'o2'].includes(job.spec.organisationId)).length
  t.true(Math.abs(ofLargeOrganisations / jobs.length - 0.8) < 0.05, `${ofLargeOrganisations / jobs.length}`)
})

test('quantile returns one of the values, and 0 for no values', t => {
  t.deepEqual([quantile([3, 1, 2], 0.5), quantile([3, 1, 2], 0.99), quantile([], 0.5)], [2, 3, 0])
})
