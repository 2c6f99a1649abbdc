import test from 'ava'
import { drawJobs } from '../src/batch-load.js'
import type { BatchSimulationResult } from '../src/batch-measures.js'
import { loadPatterns, type LoadPattern } from '../src/batch-patterns.js'
import { simulateBatch, type PolicyChoice } from '../src/batch-simulation.js'

const SEEDS = [1, 2, 3, 4]
const DEPLOYMENT_B = loadPatterns.find(({ name }) => name === 'deployment B') as LoadPattern
/** A quarter of the deployment, so that the test is short. */
const WORKERS = 44

function simulateGangs (seed: number, policies: PolicyChoice): BatchSimulationResult {
  const kinds = DEPLOYMENT_B.kinds
    .filter(({ isGang }) => isGang)
    .map(kind => ({ ...kind, arrivalsPerSecond: kind.arrivalsPerSecond * 0.13, initialJobs: 0, maxTasks: 20 }))
  const jobs = drawJobs(seed, kinds, 30_000, [], DEPLOYMENT_B.demand, DEPLOYMENT_B.fleet)
  const { organisations } = DEPLOYMENT_B.demand
  const fleet = { ...DEPLOYMENT_B, organisations, workers: WORKERS }
  return simulateBatch({ ...fleet, seed, kinds, jobs, policies, endsAtMs: 45_000 })
}

function meanServedValue (policies: PolicyChoice): number {
  return SEEDS.reduce((sum, seed) => sum + simulateGangs(seed, policies).servedValueShare, 0) / SEEDS.length
}

// Guards against gangs that are spread over slow and fast workers, so that the fast ones wait for the slow ones.
test('gangs are served better on workers of like speed, since one slow member makes the whole gang slow', t => {
  const plain = meanServedValue('plain')
  const adaptive = meanServedValue('adaptive')
  t.true(adaptive > plain + 0.03, `${adaptive} with learned speeds, ${plain} without`)
})
