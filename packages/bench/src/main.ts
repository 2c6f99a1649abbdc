/** `npm run bench -- [NAME ...]`: runs benchmarks of single packages and of node processes. */
import { existsSync } from 'node:fs'
import meow from 'meow'
import { type BenchTable, formatTable } from './format.js'
import { compareTables, type BenchResults, readResults, writeResults } from './format-figures.js'

/** Benchmarks of one package each. Every benchmark is the module `NAME-bench.js` in this folder. */
const PACKAGE_BENCHMARKS = ['placement', 'routing', 'consensus', 'control', 'batch'] as const
/** Benchmarks of the resource use and latency of node processes. They take minutes, so `all` leaves them out. */
const NODE_BENCHMARKS = ['capacity-idle', 'capacity-workers', 'capacity-changes', 'capacity-inventory', 'capacity-urgent'] as const
const NAMES = [...PACKAGE_BENCHMARKS, ...NODE_BENCHMARKS] as const

type BenchName = typeof NAMES[number]

/** Exports of a benchmark module. */
interface BenchModule {
  run (options: {
    seeds: readonly number[], quick: boolean, policies?: readonly string[], loads?: readonly string[]
  }): Promise<BenchTable[]>
}

const DEFAULT_SEEDS = [1, 2, 3]
const POLICIES = ['plain', 'adaptive']

const cli = meow(`
  Usage
    $ npm run bench -- [${NAMES.join('|')}|all]

  Without a name, or with "all", runs all but the capacity benchmarks, which measure node processes.

  Options
    --seed N        random seed of placement, routing and batch; repeatable (default ${DEFAULT_SEEDS.join(', ')});
                    routing uses all seeds from the lowest to the highest
    --policies P    policies of batch: plain, adaptive; repeatable (default both)
    --load NAME     only the loads of batch whose names begin like this; repeatable
    --quick         less work, to check that the benchmarks run; no effect on consensus and control
    --out FILE      write the results as JSON
    --compare FILE  compare with a file written by --out
`, {
  importMeta: import.meta,
  allowUnknownFlags: false,
  flags: {
    seed: { type: 'number', isMultiple: true, default: DEFAULT_SEEDS },
    policies: { type: 'string', isMultiple: true, choices: POLICIES, default: POLICIES },
    load: { type: 'string', isMultiple: true, default: [] },
    quick: { type: 'boolean', default: false },
    out: { type: 'string' },
    compare: { type: 'string' }
  }
})

/**
 * Returns undefined if a requested name is unknown, given twice or has no module; `all` skips names without a module.
 */
function selectBenchmarks (input: readonly string[]): readonly BenchName[] | undefined {
  if (input.length === 0 || input.includes('all')) return PACKAGE_BENCHMARKS.filter(checkModule)
  const chosen = NAMES.filter(name => input.includes(name) && checkModule(name))
  return chosen.length === input.length ? chosen : undefined
}

function moduleUrl (name: BenchName): URL {
  return new URL(`./${name}-bench.js`, import.meta.url)
}

/** Returns whether the module of a benchmark exists, and prints an error if not. */
function checkModule (name: BenchName): boolean {
  if (existsSync(moduleUrl(name))) return true
  console.error(`benchmark ${name}: module ${name}-bench.js not found`)
  return false
}

async function runBench (name: BenchName): Promise<BenchTable[]> {
  const bench = await import(moduleUrl(name).href) as BenchModule
  const { seed, quick, policies, load } = cli.flags
  const tables = await bench.run({ seeds: seed, quick, policies, loads: load })
  for (const table of tables) console.log(`${formatTable(table)}\n`)
  return tables
}

async function runAll (names: readonly BenchName[], earlierRun: BenchResults | undefined): Promise<void> {
  const { seed, quick, out } = cli.flags
  const tables: BenchTable[] = []
  for (const name of names) tables.push(...await runBench(name))
  if (out !== undefined) await writeResults(out, { nodeVersion: process.version, seeds: seed, isQuick: quick, tables })
  if (earlierRun === undefined) return
  if (earlierRun.isQuick !== quick) console.error('warning: only one of the compared runs used --quick, so the figures are not comparable')
  for (const table of compareTables(earlierRun.tables, tables)) console.log(`${formatTable(table)}\n`)
}

const { compare } = cli.flags
const names = selectBenchmarks(cli.input)
// Read before the benchmarks run, so that an unreadable file fails at once and not after minutes.
const earlierRun = compare === undefined ? undefined : await readResults(compare)
if (names === undefined) {
  console.error(`unknown, repeated or unavailable benchmark in "${cli.input.join(' ')}"; expected ${NAMES.join(', ')} or all`)
  process.exitCode = 2
} else if (compare !== undefined && earlierRun === undefined) {
  console.error(`--compare: ${compare} is not a readable file written by --out`)
  process.exitCode = 2
} else {
  await runAll(names, earlierRun)
}
