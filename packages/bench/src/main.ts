/** `npm run bench -- [NAME ...]`: runs benchmarks of the decision packages and of the resource use of whole nodes. */
import { existsSync } from 'node:fs'
import meow from 'meow'
import { type BenchTable, formatTable } from './format.js'
import { compareTables, type Figures, readFigures, writeFigures } from './format-figures.js'

/** Each benchmark is the module `NAME-bench.js` in this folder. */
const DECISION_NAMES = ['placement', 'routing', 'consensus', 'control', 'batch'] as const
/** Benchmarks of node processes. They take minutes, so `all` does not include them. */
const CAPACITY_NAMES = ['capacity-idle', 'capacity-workers', 'capacity-changes', 'capacity-inventory', 'capacity-urgent'] as const
const NAMES = [...DECISION_NAMES, ...CAPACITY_NAMES] as const

type BenchName = typeof NAMES[number]

/** Exports of a benchmark module. */
interface BenchModule {
  run (options: { seeds: readonly number[], quick: boolean }): Promise<BenchTable[]>
}

const DEFAULT_SEEDS = [1, 2, 3]

const cli = meow(`
  Usage
    $ npm run bench -- [${NAMES.join('|')}|all]

  Options
    --seed N        random seed; repeatable (default ${DEFAULT_SEEDS.join(', ')})
    --quick         smaller sizes, to check that the benchmarks run
    --out FILE      write the figures as JSON
    --compare FILE  compare with a file written by --out
`, {
  importMeta: import.meta,
  allowUnknownFlags: false,
  flags: {
    seed: { type: 'number', isMultiple: true, default: DEFAULT_SEEDS },
    quick: { type: 'boolean', default: false },
    out: { type: 'string' },
    compare: { type: 'string' }
  }
})

/** Returns undefined if a requested name is unknown or has no module; `all` skips names without a module. */
function chooseNames (input: readonly string[]): readonly BenchName[] | undefined {
  if (input.length === 0 || input.includes('all')) return DECISION_NAMES.filter(hasModule)
  const chosen = NAMES.filter(name => input.includes(name) && hasModule(name))
  return chosen.length === input.length ? chosen : undefined
}

function moduleUrl (name: BenchName): URL {
  return new URL(`./${name}-bench.js`, import.meta.url)
}

function hasModule (name: BenchName): boolean {
  if (existsSync(moduleUrl(name))) return true
  console.error(`benchmark ${name}: module ${name}-bench.js not found`)
  return false
}

async function runBench (name: BenchName): Promise<BenchTable[]> {
  const bench = await import(moduleUrl(name).href) as BenchModule
  const tables = await bench.run({ seeds: cli.flags.seed, quick: cli.flags.quick })
  for (const table of tables) console.log(`${formatTable(table)}\n`)
  return tables
}

async function runAll (names: readonly BenchName[], earlier: Figures | undefined): Promise<void> {
  const { seed, quick, out } = cli.flags
  const tables: BenchTable[] = []
  for (const name of names) tables.push(...await runBench(name))
  if (out !== undefined) await writeFigures(out, { nodeVersion: process.version, seeds: seed, isQuick: quick, tables })
  if (earlier === undefined) return
  if (earlier.isQuick !== quick) console.error('warning: only one of the compared runs used --quick, so the figures are not comparable')
  for (const table of compareTables(earlier.tables, tables)) console.log(`${formatTable(table)}\n`)
}

const { compare } = cli.flags
const names = chooseNames(cli.input)
// Read before the benchmarks run, so that an unreadable file fails at once and not after minutes.
const earlier = compare === undefined ? undefined : await readFigures(compare)
if (names === undefined) {
  console.error(`unknown benchmark in "${cli.input.join(' ')}"; expected ${NAMES.join(', ')} or all`)
  process.exitCode = 2
} else if (compare !== undefined && earlier === undefined) {
  console.error(`--compare: ${compare} is not a readable file written by --out`)
  process.exitCode = 2
} else {
  await runAll(names, earlier)
}
