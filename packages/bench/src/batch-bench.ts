/** Benchmark of the batch scheduler's decisions under normal load, peaks of urgent or large gangs, and overload. */
import type { BatchSettings } from '@comfreygrade/batch'
import { runBacklogBench } from './batch-backlog.js'
import { drawJobs } from './batch-load.js'
import { wasteCauses, type BatchSimulationResult } from './batch-measures.js'
import { loadPatterns, type LoadPattern } from './batch-patterns.js'
import { simulateBatch, type PolicyChoice } from './batch-simulation.js'
import type { BenchTable } from './format.js'

const ARRIVAL_PERIOD_MS = 34_000
/** Time for running jobs to end after the arrivals stop. */
const AFTER_ARRIVALS_MS = 20_000

/**
 * Simulates a load pattern once per seed.
 *
 * @example
 * const results = runPattern(loadPatterns[1], [1, 2, 3], { maxReservations: 8 })
 */
export function runPattern (
  pattern: LoadPattern, seeds: readonly number[], settings: Partial<BatchSettings> = {},
  policies: PolicyChoice = 'plain'
): BatchSimulationResult[] {
  const { loadFactor, peaks, demand, fleet } = pattern
  const kinds = pattern.kinds.map(kind => ({ ...kind, arrivalsPerSecond: kind.arrivalsPerSecond * loadFactor }))
  return seeds.map(seed => simulateBatch({
    ...pattern,
    seed,
    kinds,
    jobs: drawJobs(seed, kinds, ARRIVAL_PERIOD_MS, peaks, demand, fleet),
    organisations: demand.organisations,
    settings,
    policies,
    endsAtMs: ARRIVAL_PERIOD_MS + AFTER_ARRIVALS_MS
  }))
}

/** Options of {@link run}. */
export interface BatchBenchOptions {
  readonly seeds: readonly number[]
  /** Only the first pattern. */
  readonly quick: boolean
  /** Default: both, one below the other. */
  readonly policies?: readonly PolicyChoice[]
  /** Only the patterns whose names begin with one of these; default: all. */
  readonly loads?: readonly string[]
}

/** Runs the patterns. In the columns, "worth" is the value of the jobs. */
export async function run (
  { seeds, quick, policies = ['plain', 'adaptive'], loads = [] }: BatchBenchOptions
): Promise<BenchTable[]> {
  const selected = loadPatterns.filter(({ name }) => loads.length === 0 || loads.some(load => name.startsWith(load)))
  const patterns = quick ? selected.slice(0, 1) : selected
  const rows = patterns.flatMap(pattern =>
    policies.map(choice => toRow(pattern, choice, runPattern(pattern, seeds, {}, choice))))
  const kindColumns = (loadPatterns[0] as LoadPattern).kinds.map(kind => `${kind.name} in objective`)
  return [{
    title: `Batch scheduler, ${seeds.length} seeds`,
    columns: [
      'load', 'worth served', 'deviation', 'worst windows', 'worst organisation', 'nines', ...kindColumns,
      'core-s thrown away', ...wasteCauses
    ],
    rows
  }, ...loads.length === 0 ? runBacklogBench(quick) : []]
}

function toRow (
  { name, kinds }: LoadPattern, choice: PolicyChoice, results: readonly BatchSimulationResult[]
): string[] {
  const servedValueShares = results.map(result => result.servedValueShare)
  const withinObjective = kinds.map(kind => {
    const counts = results.flatMap(result => result.byKind.get(kind.name) ?? [])
    return sum(counts.map(count => count.withinObjective)) / Math.max(1, sum(counts.map(count => count.jobs)))
  })
  const wasted = wasteCauses.map(cause => mean(results.map(result => result.wastedCoreSeconds.get(cause) ?? 0)))
  return [
    choice === 'plain' ? name : `${name}, ${choice}`,
    mean(servedValueShares).toFixed(3),
    standardDeviation(servedValueShares).toFixed(3),
    mean(results.map(result => result.worstWindowsShare)).toFixed(3),
    mean(results.map(result => result.worstOrganisationShare)).toFixed(3),
    nines(mean(results.map(result => result.unservedJobsShare))).toFixed(2),
    ...withinObjective.map(share => share.toFixed(3)),
    ...[sum(wasted), ...wasted].map(coreSeconds => Math.round(coreSeconds).toString())
  ]
}

/** Number of nines of the share of the jobs that are served: 2 for 99 %. */
function nines (unservedShare: number): number {
  return -Math.log10(unservedShare)
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
