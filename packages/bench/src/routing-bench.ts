/** Routing benchmark: compares the policy with a baseline and with each of its mechanisms disabled. */
import type { RoutingSettings } from '@comfreygrade/routing'
import type { BenchTable } from './format.js'
import type { Deployment } from './routing-load.js'
import type { Measures } from './routing-measures.js'
import { RoutingSimulation, type PolicyName } from './routing-simulation.js'

/** Column of the table: a policy with all mechanisms, or with one of them changed. */
export interface Variant {
  readonly name: string
  readonly policy: PolicyName
  readonly settings?: Partial<RoutingSettings>
  readonly isLoadShared?: boolean
  readonly hasFairQueue?: boolean
}

export const variants: readonly Variant[] = [
  { name: 'locality', policy: 'locality' },
  { name: 'round_robin', policy: 'round_robin' },
  { name: 'no_learned_limits', policy: 'locality', settings: { limitDecreaseFactor: 1 } },
  { name: 'no_reserved_slots', policy: 'locality', settings: { reservedShortSlots: 0 } },
  { name: 'no_fair_queue', policy: 'locality', hasFairQueue: false },
  { name: 'no_ejection', policy: 'locality', settings: { ejectAfterFailures: Infinity } },
  { name: 'no_load_sharing', policy: 'locality', isLoadShared: false },
  { name: 'no_power_of_two', policy: 'locality', settings: { randomChoices: 1 } }
]

/** Selects the variants, the size of the simulation and the range of seeds. */
export interface RoutingBenchOptions {
  readonly deployment: Deployment
  readonly size: number
  readonly variants: readonly string[]
  readonly firstSeed: number
  readonly lastSeed: number
  /** Settings that are changed for all variants, for tuning. */
  readonly settings?: Partial<RoutingSettings>
}

/** Mean and standard deviation of one measure over the seeds. */
export interface SummaryStatistics {
  readonly mean: number
  readonly standardDeviation: number
}

/** Statistics of each measure by variant name. */
export type RoutingBenchResult = Map<string, Map<string, SummaryStatistics>>

/**
 * Simulates each variant once per seed.
 *
 * @example
 * const seeds = { firstSeed: 101, lastSeed: 110 }
 * const result = runRoutingBench({ deployment: 'kartli', size: 1, variants: ['locality'], ...seeds })
 * console.log(formatRoutingBench(result))
 */
export function runRoutingBench (options: RoutingBenchOptions): RoutingBenchResult {
  const result: RoutingBenchResult = new Map()
  for (const name of options.variants) result.set(name, runVariant(findVariant(name), options))
  return result
}

/**
 * Formats a table with one line per measure and one column per variant.
 *
 * @example
 * console.log(formatRoutingBench(runRoutingBench(options)))
 */
export function formatRoutingBench (result: RoutingBenchResult): string {
  const names = [...new Set([...result.values()].flatMap(measures => [...measures.keys()]))]
  const header = ['measure'.padEnd(NAME_COLUMN_WIDTH), ...[...result.keys()].map(name => name.padStart(FIGURE_COLUMN_WIDTH))].join('')
  const lines = names.map(name => {
    const cells = [...result.values()]
      .map(measures => formatStatistics(measures.get(name)).padStart(FIGURE_COLUMN_WIDTH))
    return name.padEnd(NAME_COLUMN_WIDTH) + cells.join('')
  })
  return [header, ...lines].join('\n')
}

const NAME_COLUMN_WIDTH = 34
const FIGURE_COLUMN_WIDTH = 19

function findVariant (name: string): Variant {
  const variant = variants.find(each => each.name === name)
  if (variant === undefined) throw new RangeError(`unknown variant ${name}; expected one of ${variants.map(each => each.name).join()}`)
  return variant
}

function runVariant (variant: Variant, options: RoutingBenchOptions): Map<string, SummaryStatistics> {
  const runs: Measures[] = []
  for (let seed = options.firstSeed; seed <= options.lastSeed; seed++) {
    const { deployment, size } = options
    const settings = { ...options.settings, ...variant.settings }
    runs.push(new RoutingSimulation({ ...variant, deployment, size, seed, settings }).run())
  }
  // A measure that a run does not have counts as 0, also where it is a time.
  const names = new Set(runs.flatMap(run => Object.keys(run)))
  return new Map([...names].map(name => [name, summarise(runs.map(run => run[name] ?? 0))]))
}

function summarise (values: readonly number[]): SummaryStatistics {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0)
  return { mean, standardDeviation: Math.sqrt(squares / Math.max(1, values.length - 1)) }
}

function formatStatistics (statistics: SummaryStatistics | undefined): string {
  return statistics === undefined ? '-' : `${statistics.mean.toFixed(2)} ±${statistics.standardDeviation.toFixed(2)}`
}

const DEPLOYMENTS: readonly Deployment[] = ['ferreyra', 'kartli']

/**
 * Runs the comparison for `npm run bench -- routing`: with the baseline for both deployments, and with each mechanism
 * disabled for the first. All seeds from the lowest to the highest given are used.
 *
 * @example
 * const tables = await run({ seeds: [1], quick: true })
 */
export async function run ({ seeds, quick }: { seeds: readonly number[], quick: boolean }): Promise<BenchTable[]> {
  const range = { firstSeed: Math.min(...seeds), lastSeed: Math.max(...seeds), size: 1 }
  const all = variants.map(variant => variant.name)
  return (quick ? DEPLOYMENTS.slice(0, 1) : DEPLOYMENTS).map((deployment, index) => {
    const names = quick || index > 0 ? ['locality', 'round_robin'] : all
    const result = runRoutingBench({ ...range, deployment, variants: names })
    return toTable(`Routing: ${deployment}, seeds ${range.firstSeed} to ${range.lastSeed}, mean ± deviation`, result)
  })
}

function toTable (title: string, result: RoutingBenchResult): BenchTable {
  const names = [...new Set([...result.values()].flatMap(measures => [...measures.keys()]))]
  const rows = names.map(name => [name, ...[...result.values()].map(measures => formatStatistics(measures.get(name)))])
  return { title, columns: ['measure', ...result.keys()], rows }
}
