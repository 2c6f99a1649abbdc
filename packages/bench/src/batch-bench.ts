/** Benchmark of the batch scheduler's decisions: calm load, a crest of urgent gangs, a crest of large ones. */
import type { BatchSettings } from '@comfreygrade/batch'
import { drawJobs, yardKinds, type Crest } from './batch-load.js'
import { simulateBatch, type BatchSimulationResult } from './batch-simulation.js'
import type { BenchTable } from './format.js'

/** A load to play. */
export interface BatchScenario {
  readonly name: string
  readonly crests: readonly Crest[]
  /** Factor on all rates. */
  readonly loadFactor: number
}

const WORKERS = 33
const DAY_MS = 34_000
/** Jobs may end this long after the last arrival. */
const FINISH_MS = 20_000

/** Loads that the users' days bring. */
export const batchScenarios: readonly BatchScenario[] = [
  { name: 'calm', crests: [], loadFactor: 0.8 },
  {
    name: 'crest of urgent gangs',
    crests: [{ kindName: 'urgent gang', fromMs: 8_000, toMs: 14_000, factor: 2.4 }],
    loadFactor: 1.2
  },
  {
    name: 'crest of large gangs',
    crests: [{ kindName: 'large gang', fromMs: 8_000, toMs: 13_000, factor: 2.4 }],
    loadFactor: 1.2
  },
  {
    name: 'overload',
    crests: [{ kindName: 'urgent gang', fromMs: 8_000, toMs: 14_000, factor: 2.4 }],
    loadFactor: 1.7
  }
]

/**
 * Plays one scenario with each seed.
 *
 * @example
 * const results = playScenario(batchScenarios[1], [1, 2, 3], { maxReservations: 8 })
 */
export function playScenario (
  { crests, loadFactor }: BatchScenario, seeds: readonly number[], settings: Partial<BatchSettings> = {}
): BatchSimulationResult[] {
  const kinds = yardKinds.map(kind => ({ ...kind, perSecond: kind.perSecond * loadFactor }))
  return seeds.map(seed => simulateBatch({
    seed, workers: WORKERS, kinds, jobs: drawJobs(seed, kinds, DAY_MS, crests), settings, endsAtMs: DAY_MS + FINISH_MS
  }))
}

/** Runs the benchmark. */
export async function run (options: { seeds: readonly number[], quick: boolean }): Promise<BenchTable[]> {
  const scenarios = options.quick ? batchScenarios.slice(0, 1) : batchScenarios
  const rows = scenarios.map(scenario => toRow(scenario.name, playScenario(scenario, options.seeds)))
  const kindColumns = yardKinds.map(kind => `${kind.name} in objective`)
  return [{
    title: `Batch scheduler, ${WORKERS} workers, ${options.seeds.length} seeds`,
    columns: ['load', 'worth served', 'deviation', ...kindColumns, 'core-s thrown away'],
    rows
  }]
}

function toRow (name: string, results: readonly BatchSimulationResult[]): string[] {
  const worth = results.map(result => result.worthShare)
  const inObjective = yardKinds.map(kind => {
    const counts = results.flatMap(result => result.byKind.get(kind.name) ?? [])
    return sum(counts.map(count => count.inObjective)) / Math.max(1, sum(counts.map(count => count.jobs)))
  })
  const thrownAway = mean(results.map(result => result.thrownAwayCoreSeconds))
  return [name, mean(worth).toFixed(3), deviation(worth).toFixed(3), ...inObjective.map(share => share.toFixed(3)),
    Math.round(thrownAway).toString()]
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function mean (values: readonly number[]): number {
  return sum(values) / values.length
}

function deviation (values: readonly number[]): number {
  const centre = mean(values)
  return Math.sqrt(mean(values.map(value => (value - centre) ** 2)))
}
