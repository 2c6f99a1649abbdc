/** Benchmark of placement: policies, mechanisms and decision time. */
import type { JobSpec } from '@comfreygrade/core'
import {
  BuddyCellPolicy, FirstFitPolicy, type PlacementPolicy, type PlacementSettings, defaultPlacementSettings
} from '@comfreygrade/placement'
import type { BenchTable } from './format.js'
import { type LoadClass, type LoadSettings, generateLoad } from './placement-load.js'
import { type JobResult, type SimulationResult, jobsOfClass, simulate } from './placement-simulation.js'

const HOUR_MS = 3_600_000

/** Seeds on which settings are chosen; never reported. */
export const TUNING_SEEDS: readonly number[] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]
/** Seeds of the reported figures. */
export const REPORTED_SEEDS: readonly number[] = [101, 102, 103, 104, 105, 106, 107, 108, 109, 110]

/** Load of the benchmark for a number of racks of 8 workers with 8 accelerators. */
export function benchLoadSettings (racks: number): LoadSettings {
  return { racks, durationMs: 24 * HOUR_MS, offeredShare: 0.8 }
}

/** One measured quantity over several seeds. */
export interface Measure {
  readonly name: string
  /** One value for each seed. */
  readonly values: readonly number[]
  readonly mean: number
  /** Standard deviation over the seeds. */
  readonly spread: number
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
  override candidateRacks (...parameters: Parameters<FirstFitPolicy['candidateRacks']>): Iterable<number> {
    return new FirstFitPolicy().candidateRacks(...parameters)
  }

  override takesSmallestCell (): boolean {
    return false
  }
}

/** The real policy and the baseline. */
export function comparedPolicies (): PlacementPolicy[] {
  return [new BuddyCellPolicy(), new FirstFitPolicy()]
}

/** The real policy with each mechanism switched off alone. */
export function ablatedPolicies (): PlacementPolicy[] {
  return [
    new WithoutBackfilling(),
    new WithoutGuarantees(),
    new WithoutLearnedRunTimes(),
    new WithoutBestFit()
  ]
}

/**
 * Measures one policy over seeds.
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
  return { name, values, mean, spread: Math.sqrt(variance) }
}

function measuresOf (result: SimulationResult): Map<string, number> {
  const measures = new Map<string, number>()
  for (const loadClass of ['small', 'large', 'urgent'] as const) addClass(measures, result, loadClass)
  measures.set('largest jobs max wait s', Math.max(0, ...largestJobs(result).map(waitOrNever)) / 1000)
  measures.set('utilisation', result.utilisation)
  measures.set('goodput', result.goodput)
  measures.set('fragmentation', result.fragmentation)
  measures.set('reclaim p50 s', quantile(result.reclaimMs, 0.5) / 1000)
  measures.set('reclaim p99 s', quantile(result.reclaimMs, 0.99) / 1000)
  measures.set('reclaims', result.reclaims)
  for (const fate of ['completed', 'refused', 'stopped', 'cancelled', 'unfinished'] as const) {
    measures.set(fate, result.jobs.filter(job => job.fate === fate).length)
  }
  return measures
}

function addClass (measures: Map<string, number>, result: SimulationResult, loadClass: LoadClass): void {
  const counted = jobsOfClass(result, loadClass).filter(job => job.fate === 'completed' || job.fate === 'unfinished')
  for (const [label, share] of [['p50', 0.5], ['p95', 0.95], ['p99', 0.99]] as const) {
    measures.set(`${loadClass} completion ${label} s`, quantile(counted.map(completionOrNever), share) / 1000)
    measures.set(`${loadClass} wait ${label} s`, quantile(counted.map(waitOrNever), share) / 1000)
  }
}

/** A job that was cut off counts with the time at which the run was cut off, which is a lower bound. */
function completionOrNever (result: JobResult): number {
  return result.completionMs ?? cutOffMs(result)
}

function waitOrNever (result: JobResult): number {
  return result.waitMs ?? cutOffMs(result)
}

function cutOffMs (result: JobResult): number {
  return 3 * 24 * HOUR_MS - result.job.submitMs
}

function largestJobs (result: SimulationResult): JobResult[] {
  const size = ({ job }: JobResult) => job.spec.tasks * job.spec.acceleratorsPerTask
  const counted = result.jobs.filter(job => job.fate === 'completed' || job.fate === 'unfinished')
  const largest = counted.reduce((most, job) => Math.max(most, size(job)), 0)
  return counted.filter(job => size(job) === largest)
}

/** The value below which a share of the values lies; 0 without values. */
export function quantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

/** One line for each measure with a column for each policy: mean ± spread. */
export function formatRows (rows: readonly PolicyRow[]): string {
  const header = ['measure', ...rows.map(row => row.policy)].join(' | ')
  const lines = rows[0]!.measures.map((measure, index) => {
    const cells = rows.map(row => `${figure(row.measures[index]!.mean)} ± ${figure(row.measures[index]!.spread)}`)
    return [measure.name, ...cells].join(' | ')
  })
  return [header, ...lines].join('\n')
}

/**
 * One line for each measure: the first policy, then the differences of the others from it by seed, mean ± spread. A
 * star marks a mean difference above its spread.
 */
export function formatDifferences (rows: readonly PolicyRow[]): string {
  const [base, ...others] = rows
  const header = ['measure', base!.policy, ...others.map(row => `${row.policy} (difference)`)].join(' | ')
  const lines = base!.measures.map((measure, index) => {
    const cells = others.map(row => formatDifference(measure, row.measures[index]!))
    return [measure.name, `${figure(measure.mean)} ± ${figure(measure.spread)}`, ...cells].join(' | ')
  })
  return [header, ...lines].join('\n')
}

function formatDifference (base: Measure, other: Measure): string {
  const { mean, spread } = summarise(base.name, other.values.map((value, seed) => value - base.values[seed]!))
  const sign = mean < 0 ? '-' : '+'
  return `${sign}${figure(Math.abs(mean))} ± ${figure(spread)}${Math.abs(mean) > spread ? ' *' : ''}`
}

function figure (value: number): string {
  return value >= 100 ? value.toFixed(0) : value >= 10 ? value.toFixed(1) : value.toFixed(3)
}

/** Racks of 8 workers with 8 accelerators: today's deployments and ten times their size. */
const DEPLOYMENT_RACKS = [4, 40]

/**
 * Runs the comparison with the baseline and each mechanism switched off alone, for `npm run bench -- placement`.
 *
 * @example
 * const tables = await run({ seeds: [1], quick: true })
 */
export async function run ({ seeds, quick }: { seeds: readonly number[], quick: boolean }): Promise<BenchTable[]> {
  return (quick ? [1] : DEPLOYMENT_RACKS).flatMap(racks => {
    const compared = comparedPolicies().map(policy => measurePolicy(policy, racks, seeds))
    const ablated = ablatedPolicies().map(policy => measurePolicy(policy, racks, seeds))
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
