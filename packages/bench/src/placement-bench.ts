/**
 * Placement benchmark: compares `BuddyCellPolicy` with a first-fit baseline and with each of its mechanisms disabled.
 */
import type { JobSpec } from '@comfreygrade/core'
import {
  BuddyCellPolicy, FirstFitPolicy, type PlacementPolicy, type PlacementSettings, defaultPlacementSettings
} from '@comfreygrade/placement'
import type { BenchTable } from './format.js'
import { type LoadClass, type LoadSettings, generateLoad } from './placement-load.js'
import { CUT_OFF_FACTOR, type JobResult, type SimulationResult, jobsOfClass, simulate } from './placement-simulation.js'

const HOUR_MS = 3_600_000

/** Seeds for choosing settings. Kept apart from the reported seeds, so that results are not overfitted. */
export const TUNING_SEEDS: readonly number[] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]
/** Seeds of the reported figures. */
export const REPORTED_SEEDS: readonly number[] = [101, 102, 103, 104, 105, 106, 107, 108, 109, 110]

/** Load settings for a number of racks, each with 8 workers of 8 accelerators. */
export function benchLoadSettings (racks: number): LoadSettings {
  return { racks, durationMs: 24 * HOUR_MS, offeredShare: 0.8 }
}

/** Values of one measured quantity, with their mean and standard deviation over the seeds. */
export interface Measure {
  readonly name: string
  /** One value per seed. */
  readonly values: readonly number[]
  readonly mean: number
  readonly standardDeviation: number
}

/** All measures of one policy. */
export interface PolicyRow {
  readonly policy: string
  readonly racks: number
  readonly measures: readonly Measure[]
}

class WithoutBackfilling extends BuddyCellPolicy {
  override readonly name = 'without backfilling'
  override backfills (): boolean {
    return false
  }
}

class WithoutGuarantees extends BuddyCellPolicy {
  override readonly name = 'without guarantees'
  override usesGuarantees (): boolean {
    return false
  }
}

class WithoutLearnedRunTimes extends BuddyCellPolicy {
  override readonly name = 'without learned run times'
  override estimateRunMs (spec: JobSpec): number {
    return spec.declaredRunMs
  }
}

class WithoutBestFit extends BuddyCellPolicy {
  override readonly name = 'without best fit'
  override racksInSearchOrder (...parameters: Parameters<FirstFitPolicy['racksInSearchOrder']>): Iterable<number> {
    return new FirstFitPolicy().racksInSearchOrder(...parameters)
  }

  override usesBestFit (): boolean {
    return false
  }
}

/** The policy that nodes use and the first-fit baseline. */
export function comparedPolicies (): PlacementPolicy[] {
  return [new BuddyCellPolicy(), new FirstFitPolicy()]
}

/** Variants of `BuddyCellPolicy`, each with one mechanism disabled. */
export function policiesWithoutOneMechanism (): PlacementPolicy[] {
  return [
    new WithoutBackfilling(),
    new WithoutGuarantees(),
    new WithoutLearnedRunTimes(),
    new WithoutBestFit()
  ]
}

/**
 * Simulates a policy once per seed and summarises the results.
 *
 * @example
 * measurePolicy(new BuddyCellPolicy(), 4, REPORTED_SEEDS).measures
 */
export function measurePolicy (
  policy: PlacementPolicy, racks: number, seeds: readonly number[],
  settings: PlacementSettings = defaultPlacementSettings
): PolicyRow {
  const runs = seeds.map(seed => measuresOf(simulate(generateLoad(benchLoadSettings(racks), seed), policy, settings)))
  const names = [...runs[0]!.keys()]
  return { policy: policy.name, racks, measures: names.map(name => summarise(name, runs.map(run => run.get(name)!))) }
}

function summarise (name: string, values: readonly number[]): Measure {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  const variance = values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / Math.max(1, values.length - 1)
  return { name, values, mean, standardDeviation: Math.sqrt(variance) }
}

function measuresOf (result: SimulationResult): Map<string, number> {
  const measures = new Map<string, number>()
  for (const loadClass of ['small', 'large', 'urgent'] as const) addClassMeasures(measures, result, loadClass)
  measures.set('largest jobs max wait s', Math.max(0, ...largestJobs(result).map(waitOrCutOffMs)) / 1000)
  measures.set('utilisation', result.utilisation)
  measures.set('goodput', result.goodput)
  measures.set('fragmentation', result.fragmentation)
  measures.set('reclaim p50 s', quantile(result.reclaimMs, 0.5) / 1000)
  measures.set('reclaim p99 s', quantile(result.reclaimMs, 0.99) / 1000)
  measures.set('reclaims', result.reclaims)
  for (const outcome of ['completed', 'refused', 'stopped', 'cancelled', 'unfinished'] as const) {
    measures.set(outcome, result.jobs.filter(job => job.outcome === outcome).length)
  }
  return measures
}

function addClassMeasures (measures: Map<string, number>, result: SimulationResult, loadClass: LoadClass): void {
  const counted = jobsOfClass(result, loadClass).filter(job => job.outcome === 'completed' || job.outcome === 'unfinished')
  for (const [label, share] of [['p50', 0.5], ['p95', 0.95], ['p99', 0.99]] as const) {
    measures.set(`${loadClass} completion ${label} s`, quantile(counted.map(completionOrCutOffMs), share) / 1000)
    measures.set(`${loadClass} wait ${label} s`, quantile(counted.map(waitOrCutOffMs), share) / 1000)
  }
}

/** For a job that had not completed when the simulation was cut off, the time until the cut-off, a lower bound. */
function completionOrCutOffMs (result: JobResult): number {
  return result.completionMs ?? cutOffMs(result)
}

function waitOrCutOffMs (result: JobResult): number {
  return result.waitMs ?? cutOffMs(result)
}

/** Time from submission until the simulation of a load of `benchLoadSettings` is cut off. */
function cutOffMs (result: JobResult): number {
  return CUT_OFF_FACTOR * 24 * HOUR_MS - result.job.submitMs
}

function largestJobs (result: SimulationResult): JobResult[] {
  const size = ({ job }: JobResult) => job.spec.tasks * job.spec.acceleratorsPerTask
  const counted = result.jobs.filter(job => job.outcome === 'completed' || job.outcome === 'unfinished')
  const largest = counted.reduce((most, job) => Math.max(most, size(job)), 0)
  return counted.filter(job => size(job) === largest)
}

/**
 * Returns the value below which this share of the values lies; 0 if there are no values, whereas `quantile` in
 * `routing-measures.ts` returns NaN.
 */
export function quantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

/** Formats one line per measure with the mean ± standard deviation of each policy. */
export function formatRows (rows: readonly PolicyRow[]): string {
  const header = ['measure', ...rows.map(row => row.policy)].join(' | ')
  const lines = rows[0]!.measures.map((measure, index) => {
    const cells = rows.map(row => `${formatFigure(row.measures[index]!.mean)} ± ${formatFigure(row.measures[index]!.standardDeviation)}`)
    return [measure.name, ...cells].join(' | ')
  })
  return [header, ...lines].join('\n')
}

/**
 * Formats one line per measure with the first policy and the per-seed differences of the others from it, as mean ±
 * standard deviation. A star marks a mean difference larger than its standard deviation.
 */
export function formatDifferences (rows: readonly PolicyRow[]): string {
  const [base, ...others] = rows
  const header = ['measure', base!.policy, ...others.map(row => `${row.policy} (difference)`)].join(' | ')
  const lines = base!.measures.map((measure, index) => {
    const cells = others.map(row => formatDifference(measure, row.measures[index]!))
    return [measure.name, `${formatFigure(measure.mean)} ± ${formatFigure(measure.standardDeviation)}`, ...cells].join(' | ')
  })
  return [header, ...lines].join('\n')
}

function formatDifference (base: Measure, other: Measure): string {
  const { mean, standardDeviation } = summarise(
    base.name, other.values.map((value, seed) => value - base.values[seed]!)
  )
  const sign = mean < 0 ? '-' : '+'
  return `${sign}${formatFigure(Math.abs(mean))} ± ${formatFigure(standardDeviation)}${Math.abs(mean) > standardDeviation ? ' *' : ''}`
}

function formatFigure (value: number): string {
  return value >= 100 ? value.toFixed(0) : value >= 10 ? value.toFixed(1) : value.toFixed(3)
}

/** The size of present deployments and ten times as much. */
const DEPLOYMENT_RACKS = [4, 40]

/**
 * Runs both comparisons for `npm run bench -- placement`: with the baseline and with each mechanism disabled.
 *
 * @example
 * const tables = await run({ seeds: [1], quick: true })
 */
export async function run ({ seeds, quick }: { seeds: readonly number[], quick: boolean }): Promise<BenchTable[]> {
  return (quick ? [1] : DEPLOYMENT_RACKS).flatMap(racks => {
    const compared = comparedPolicies().map(policy => measurePolicy(policy, racks, seeds))
    const ablated = policiesWithoutOneMechanism().map(policy => measurePolicy(policy, racks, seeds))
    const size = `${racks * 8} workers, ${seeds.length} seeds, mean ± spread`
    return [
      toTable(`Placement: ${size}`, formatRows(compared)),
      toTable(`Placement, one mechanism off, difference: ${size}`, formatDifferences([compared[0]!, ...ablated]))
    ]
  })
}

function toTable (title: string, text: string): BenchTable {
  const [columns = [], ...rows] = text.split('\n').map(line => line.split(' | '))
  return { title, columns, rows }
}
