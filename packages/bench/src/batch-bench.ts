/** Benchmark of the batch scheduler's decisions under normal load, peaks of urgent or large gangs, and overload. */
import type { BatchSettings } from '@comfreygrade/batch'
import { drawJobs, defaultJobKinds, type LoadPeak } from './batch-load.js'
import { simulateBatch, type BatchSimulationResult } from './batch-simulation.js'
import type { BenchTable } from './format.js'

/**
 * A named load. The names are row names of the table and stay, so that results can be compared with stored ones; a
 * "crest" is a peak, and the column "worth" is the value of the jobs.
 */
export interface BatchScenario {
  readonly name: string
  readonly peaks: readonly LoadPeak[]
  /** Multiplies the arrival rates of all job kinds. */
  readonly loadFactor: number
}

const WORKERS = 33
const ARRIVAL_PERIOD_MS = 34_000
/** Time for running jobs to end after the arrivals stop. */
const AFTER_ARRIVALS_MS = 20_000

export const batchScenarios: readonly BatchScenario[] = [
  { name: 'calm', peaks: [], loadFactor: 0.8 },
  {
    name: 'crest of urgent gangs',
    peaks: [{ kindName: 'urgent gang', fromMs: 8_000, toMs: 14_000, factor: 2.4 }],
    loadFactor: 1.2
  },
  {
    name: 'crest of large gangs',
    peaks: [{ kindName: 'large gang', fromMs: 8_000, toMs: 13_000, factor: 2.4 }],
    loadFactor: 1.2
  },
  {
    name: 'overload',
    peaks: [{ kindName: 'urgent gang', fromMs: 8_000, toMs: 14_000, factor: 2.4 }],
    loadFactor: 1.7
  }
]

/**
 * Simulates a scenario once per seed.
 *
 * @example
 * const results = runScenario(batchScenarios[1], [1, 2, 3], { maxReservations: 8 })
 */
export function runScenario (
  { peaks, loadFactor }: BatchScenario, seeds: readonly number[], settings: Partial<BatchSettings> = {}
): BatchSimulationResult[] {
  const kinds = defaultJobKinds.map(kind => ({ ...kind, arrivalsPerSecond: kind.arrivalsPerSecond * loadFactor }))
  return seeds.map(seed => simulateBatch({
    seed,
    workers: WORKERS,
    kinds,
    jobs: drawJobs(seed, kinds, ARRIVAL_PERIOD_MS, peaks),
    settings,
    endsAtMs: ARRIVAL_PERIOD_MS + AFTER_ARRIVALS_MS
  }))
}

/** Runs all scenarios; with `quick` only the first. */
export async function run (options: { seeds: readonly number[], quick: boolean }): Promise<BenchTable[]> {
  const scenarios = options.quick ? batchScenarios.slice(0, 1) : batchScenarios
  const rows = scenarios.map(scenario => toRow(scenario.name, runScenario(scenario, options.seeds)))
  const kindColumns = defaultJobKinds.map(kind => `${kind.name} in objective`)
  return [{
    title: `Batch scheduler, ${WORKERS} workers, ${options.seeds.length} seeds`,
    columns: ['load', 'worth served', 'deviation', ...kindColumns, 'core-s thrown away'],
    rows
  }]
}

function toRow (name: string, results: readonly BatchSimulationResult[]): string[] {
  const servedValueShares = results.map(result => result.servedValueShare)
  const withinObjective = defaultJobKinds.map(kind => {
    const counts = results.flatMap(result => result.byKind.get(kind.name) ?? [])
    return sum(counts.map(count => count.withinObjective)) / Math.max(1, sum(counts.map(count => count.jobs)))
  })
  const wastedCoreSeconds = mean(results.map(result => result.wastedCoreSeconds))
  return [
    name, mean(servedValueShares).toFixed(3), standardDeviation(servedValueShares).toFixed(3),
    ...withinObjective.map(share => share.toFixed(3)), Math.round(wastedCoreSeconds).toString()
  ]
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function mean (values: readonly number[]): number {
  return sum(values) / values.length
}

/** Returns the standard deviation of the values themselves, not the estimate from a sample. */
function standardDeviation (values: readonly number[]): number {
  const centre = mean(values)
  return Math.sqrt(mean(values.map(value => (value - centre) ** 2)))
}
