/** Load command that sends the same requests directly to backend servers and through entry nodes, to compare both. */
import { Random } from '@comfreygrade/core'
import meow from 'meow'
import { type BenchTable, formatTable } from './format.js'
import { writeResults } from './format-figures.js'
import { ClosedLoop, HttpLoadTarget, LoadMeasurement, type LoadPattern, OpenLoop } from './load-run.js'

const cli = meow(`
  Usage
    $ npm run load -- --entry URL [--entry URL ...] --direct URL [--direct URL ...]

  Options
    --entry URL         entry node; repeatable, used round-robin
    --direct URL        backend server to compare with; repeatable, used round-robin
    --service NAME      service to call (default charge)
    --organisation ID   repeatable, used round-robin (default universidad-norte)
    --rate N            open loop with N requests per second; closed loop if not set
    --callers N         concurrent callers of the closed loop (default 16)
    --requests N        maximum number of requests per round and target (default 2000)
    --duration-ms N     maximum duration per round and target (default 10000)
    --rounds N          number of rounds; each sends to both targets (default 3)
    --body-bytes N      size of the request body (default 256)
    --timeout-ms N      timeout of each request, also sent as its deadline (default 10000)
    --connections N     connections per address (default 50)
    --seed N            random seed of the arrival times (default 1)
    --out FILE          write the results as JSON

  The defaults of --service and --organisation are those of the demo. The exit code is 1 if a target answered no request.
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

/** Requests sent before the measurement to open connections and let the JIT compile the code. */
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

/** Both targets use the same seed in a round and therefore the same arrival times. */
function createPattern (round: number): LoadPattern {
  const { rate, callers, seed } = cli.flags
  return rate === undefined ? new ClosedLoop(callers) : new OpenLoop(rate, new Random(seed + round))
}

/** Alternates between the targets, so that other load on the machine does not affect only one of them. */
async function measureTargets (): Promise<Record<TargetName, LoadMeasurement>> {
  const { requests, durationMs, rounds, callers } = cli.flags
  const measurements = { direct: new LoadMeasurement(), entry: new LoadMeasurement() }
  const targets = { direct: createTarget('direct'), entry: createTarget('entry') }
  for (const name of TARGETS) {
    const limits = { requests: WARM_UP_REQUESTS, durationMs }
    await new ClosedLoop(callers).run(targets[name], limits, new LoadMeasurement())
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
    ratio(measurement => measurement.latencyPercentileMs(50)),
    ratio(measurement => measurement.latencyPercentileMs(99)),
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
  const figures = [measurement.latencyPercentileMs(50), measurement.latencyPercentileMs(99)]
    .map(value => value.toFixed(2))
  return [name, ...[answered, refused, failed].map(String), ...figures, measurement.answeredPerSecond.toFixed(0)]
}

function findInvalidNumberFlag (): string | undefined {
  const { rate, callers, requests, durationMs, rounds, timeoutMs, connections } = cli.flags
  const values = { rate: rate ?? 1, callers, requests, durationMs, rounds, timeoutMs, connections }
  return Object.entries(values).find(([, value]) => !(value > 0 && value < Infinity))?.[0]
}

const invalidFlag = findInvalidNumberFlag()
if (invalidFlag === undefined) {
  const measurements = await measureTargets()
  const table = toTable(measurements)
  console.log(formatTable(table))
  const { out, seed } = cli.flags
  if (out !== undefined) {
    await writeResults(out, { nodeVersion: process.version, seeds: [seed], isQuick: false, tables: [table] })
  }
  process.exitCode = TARGETS.some(name => measurements[name].counts.answered === 0) ? 1 : 0
} else {
  console.error(`${invalidFlag}: must be a finite number above 0`)
  process.exitCode = 2
}
