/** Benchmark of the request router: real policy, baseline, and each mechanism switched off alone. */
import type { RoutingSettings } from '@comfreygrade/routing'
import type { BenchTable } from './format.js'
import type { Deployment } from './routing-load.js'
import type { Measures } from './routing-measures.js'
import { RoutingWorld, type PolicyName } from './routing-simulation.js'

/** One column of the table: a policy with all mechanisms, or with one of them changed. */
export interface Variant {
  readonly name: string
  readonly policy: PolicyName
  readonly settings?: Partial<RoutingSettings>
  readonly isLoadShared?: boolean
  readonly isFair?: boolean
}

/** Variants by name. */
export const variants: readonly Variant[] = [
  { name: 'locality', policy: 'locality' },
  { name: 'round_robin', policy: 'round_robin' },
  { name: 'no_learned_limits', policy: 'locality', settings: { limitDecreaseFactor: 1 } },
  { name: 'no_reserved_slots', policy: 'locality', settings: { reservedShortSlots: 0 } },
  { name: 'no_fair_queue', policy: 'locality', isFair: false },
  { name: 'no_ejection', policy: 'locality', settings: { ejectAfterFailures: Infinity } },
  { name: 'no_load_sharing', policy: 'locality', isLoadShared: false },
  { name: 'no_power_of_two', policy: 'locality', settings: { randomChoices: 1 } }
]

/** What to run. */
export interface RoutingBenchOptions {
  readonly deployment: Deployment
  readonly size: number
  readonly variants: readonly string[]
  readonly firstSeed: number
  readonly lastSeed: number
  /** Settings changed for every variant, for tuning. */
  readonly settings?: Partial<RoutingSettings>
}

/** Mean and standard deviation of one measure over the seeds. */
export interface Spread {
  readonly mean: number
  readonly deviation: number
}

/** Spread of each measure by variant. */
export type RoutingBenchResult = Map<string, Map<string, Spread>>

/**
 * Runs the variants over the seeds.
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
 * A table with one line per measure and one column per variant.
 *
 * @example
 * console.log(formatRoutingBench(runRoutingBench(options)))
 */
export function formatRoutingBench (result: RoutingBenchResult): string {
  const names = [...new Set([...result.values()].flatMap(measures => [...measures.keys()]))]
  const header = ['measure'.padEnd(NAME_WIDTH), ...[...result.keys()].map(name => name.padStart(CELL_WIDTH))].join('')
  const lines = names.map(name => {
    const cells = [...result.values()].map(measures => formatSpread(measures.get(name)).padStart(CELL_WIDTH))
    return name.padEnd(NAME_WIDTH) + cells.join('')
  })
  return [header, ...lines].join('\n')
}

const NAME_WIDTH = 34
const CELL_WIDTH = 19

function findVariant (name: string): Variant {
  const variant = variants.find(each => each.name === name)
  if (variant === undefined) throw new RangeError(`no variant ${name}; there are ${variants.map(each => each.name).join()}`)
  return variant
}

function runVariant (variant: Variant, options: RoutingBenchOptions): Map<string, Spread> {
  const runs: Measures[] = []
  for (let seed = options.firstSeed; seed <= options.lastSeed; seed++) {
    const { deployment, size } = options
    const settings = { ...options.settings, ...variant.settings }
    runs.push(new RoutingWorld({ ...variant, deployment, size, seed, settings }).run())
  }
  const names = new Set(runs.flatMap(run => Object.keys(run)))
  return new Map([...names].map(name => [name, spreadOf(runs.map(run => run[name] ?? 0))]))
}

function spreadOf (values: readonly number[]): Spread {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0)
  return { mean, deviation: Math.sqrt(squares / Math.max(1, values.length - 1)) }
}

function formatSpread (spread: Spread | undefined): string {
  return spread === undefined ? '-' : `${spread.mean.toFixed(2)} ±${spread.deviation.toFixed(2)}`
}

const DEPLOYMENTS: readonly Deployment[] = ['ferreyra', 'kartli']

/**
 * Runs the comparison with the baseline for both deployments, and each mechanism switched off alone for the first, for
 * `npm run bench -- routing`. Seeds are a range from the lowest to the highest of those given.
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
  const rows = names.map(name => [name, ...[...result.values()].map(measures => formatSpread(measures.get(name)))])
  return { title, columns: ['measure', ...result.keys()], rows }
}
