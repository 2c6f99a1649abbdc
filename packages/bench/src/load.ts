/** Load command: the same seeded load directly against backend servers and through entry nodes, in one run. */
import { Random } from '@comfreygrade/core'
import meow from 'meow'
import { type BenchTable, formatTable } from './format.js'
import { writeFigures } from './format-figures.js'
import { ClosedLoop, HttpLoadTarget, LoadMeasurement, type LoadPattern, OpenLoop } from './load-run.js'

const cli = meow(`
  Usage
    $ npm run load -- --entry URL [--entry URL ...] --direct URL [--direct URL ...]

  Options
    --entry URL         entry node; repeatable, used in turn
    --direct URL        backend server for the comparison; repeatable
    --service NAME      service to call (charge)
    --organisation ID   repeatable, used in turn (universidad-norte)
    --rate N            open loop with N requests a second; without it the loop is closed
    --callers N         callers of the closed loop (16)
    --requests N        most requests of one round and target (2000)
    --duration-ms N     longest time of one round and target (10000)
    --rounds N          rounds; each sends to both targets (3)
    --body-bytes N      size of the body (256)
    --timeout-ms N      deadline of each request (10000)
    --connections N     connections to each address (50)
    --seed N            seed of the arrival times (1)
    --out FILE          write the figures as JSON
`, {
  importMeta: import.meta,
  allowUnknownFlags: false,
  flags: {
    entry: { type: 'string', isMultiple: true, isRequired: true },
    direct: { type: 'string', isMultiple: true, isRequired: true },
    service: { type: 'string', default: 'charge' },
    organisation: { type: 'string', isMultiple: true, default: ['universidad-norte'] },
    rate: { type: 'number' },
    callers: { type: 'number', default: 16 },
    requests: { type: 'number', default: 2_000 },
    durationMs: { type: 'number', default: 10_000 },
    rounds: { type: 'number', default: 3 },
    bodyBytes: { type: 'number', default: 256 },
    timeoutMs: { type: 'number', default: 10_000 },
    connections: { type: 'number', default: 50 },
    seed: { type: 'number', default: 1 },
    out: { type: 'string' }
  }
})

/** Requests sent before the measurement, so that connections are open and code is compiled. */
const WARM_UP_REQUESTS = 200

type TargetName = 'direct' | 'entry'

const TARGETS: readonly TargetName[] = ['direct', 'entry']

function createTarget (name: TargetName): HttpLoadTarget {
  const { entry, direct, service, organisation, bodyBytes, timeoutMs, connections } = cli.flags
  const urls = name === 'entry'
    ? entry.map(address => `${address}/v1/services/${service}/requests`)
    : direct.map(address => `${address}/${service}`)
  return new HttpLoadTarget({
    urls, organisations: organisation, body: Buffer.alloc(bodyBytes, 'x'), timeoutMs, connectionsPerUrl: connections
  })
}

/** Both targets get the same seed in a round, and so the same arrival times. */
function createPattern (round: number): LoadPattern {
  const { rate, callers, seed } = cli.flags
  return rate === undefined ? new ClosedLoop(callers) : new OpenLoop(rate, new Random(seed + round))
}

/** Rounds alternate between the targets, so that a busy moment of the machine does not fall on one of them alone. */
async function measureTargets (): Promise<Record<TargetName, LoadMeasurement>> {
  const { requests, durationMs, rounds, callers } = cli.flags
  const measurements = { direct: new LoadMeasurement(), entry: new LoadMeasurement() }
  const targets = { direct: createTarget('direct'), entry: createTarget('entry') }
  for (const name of TARGETS) {
    const bounds = { requests: WARM_UP_REQUESTS, durationMs }
    await new ClosedLoop(callers).run(targets[name], bounds, new LoadMeasurement())
  }
  for (let round = 0; round < rounds; round++) {
    for (const name of TARGETS) {
      await createPattern(round).run(targets[name], { requests, durationMs }, measurements[name])
    }
  }
  await Promise.all(TARGETS.map(async name => await targets[name].close()))
  return measurements
}

function toTable (measurements: Record<TargetName, LoadMeasurement>): BenchTable {
  const { rate, callers, seed } = cli.flags
  const { direct, entry } = measurements
  const ratio = (read: (measurement: LoadMeasurement) => number) => (read(entry) / read(direct)).toFixed(2)
  const ratios = [
    ratio(measurement => measurement.latencyMs(50)),
    ratio(measurement => measurement.latencyMs(99)),
    ratio(measurement => measurement.answeredPerSecond)
  ]
  return {
    title: `Short requests, ${rate === undefined ? `closed loop of ${callers} callers` : `open loop of ${rate}/s`}, seed ${seed}`,
    columns: ['target', 'answered', 'refused', 'failed', 'p50 ms', 'p99 ms', 'requests/s'],
    rows: [...TARGETS.map(name => toRow(name, measurements[name])), ['entry / direct', '', '', '', ...ratios]]
  }
}

function toRow (name: TargetName, measurement: LoadMeasurement): string[] {
  const { answered, refused, failed } = measurement.counts
  const figures = [measurement.latencyMs(50), measurement.latencyMs(99)].map(value => value.toFixed(2))
  return [name, ...[answered, refused, failed].map(String), ...figures, measurement.answeredPerSecond.toFixed(0)]
}

function findWrongNumber (): string | undefined {
  const { rate, callers, requests, durationMs, rounds, timeoutMs, connections } = cli.flags
  const values = { rate: rate ?? 1, callers, requests, durationMs, rounds, timeoutMs, connections }
  return Object.entries(values).find(([, value]) => !(value > 0 && value < Infinity))?.[0]
}

const wrongNumber = findWrongNumber()
if (wrongNumber === undefined) {
  const measurements = await measureTargets()
  const table = toTable(measurements)
  console.log(formatTable(table))
  const { out, seed } = cli.flags
  if (out !== undefined) {
    await writeFigures(out, { nodeVersion: process.version, seeds: [seed], isQuick: false, tables: [table] })
  }
  process.exitCode = TARGETS.some(name => measurements[name].counts.answered === 0) ? 1 : 0
} else {
  console.error(`${wrongNumber}: allowed a number above 0`)
  process.exitCode = 2
}
