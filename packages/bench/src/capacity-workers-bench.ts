/** Resource use of workers' reports at several numbers of workers. */
import { Agent, request } from 'node:http'
import type { Socket } from 'node:net'
import { encodeFrame } from '@comfreygrade/node'
import { pause, startInterval, startTimer } from '@comfreygrade/timers'
import type { BenchTable } from './format.js'
import { meanOfRole, measureResourceUse, measureIdleResourceUse, type MeasuredRole, type ResourceUse } from './capacity-cost.js'
import { loadInventory } from './capacity-inventory.js'
import { LocalCluster } from './capacity-system.js'

const WORKER_COUNTS = [30, 100, 300, 1_000]
const QUICK_WORKER_COUNTS = [30]
/** Workers with a lease of 30 s report every 10 s; a shorter interval gives enough reports in a short run. */
const REPORT_INTERVAL_MS = 2_000
const DURATION_MS = 15_000
const WARM_UP_MS = 5_000
const IDLE_MS = 10_000
const TASKS_PER_WORKER = 5

/**
 * Requests by result (`answered`: status 200, `failed`: any other status or none), and bytes as the workers see them.
 */
interface WorkerTraffic {
  readonly answered: number
  readonly failed: number
  readonly sentBytes: number
  readonly receivedBytes: number
}

/** Simulated workers that report at a fixed interval and ignore orders. */
class ReportingWorkers {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 64 })
  readonly #sockets = new Set<Socket>()
  readonly #addresses: readonly string[]
  readonly #timers: NodeJS.Timeout[] = []
  #sequence = 0
  #answered = 0
  #failed = 0

  constructor (addresses: readonly string[]) {
    this.#addresses = addresses
  }

  /** Starts the reports of the workers, spread evenly over the interval. */
  start (workers: number): void {
    for (let worker = 0; worker < workers; worker += 1) {
      this.#timers.push(startTimer(REPORT_INTERVAL_MS * worker / workers, () => {
        this.#report(worker)
        this.#timers.push(startInterval(REPORT_INTERVAL_MS, () => { this.#report(worker) }))
      }))
    }
  }

  get traffic (): WorkerTraffic {
    const sockets = [...this.#sockets]
    return {
      answered: this.#answered,
      failed: this.#failed,
      sentBytes: sockets.reduce((sum, socket) => sum + socket.bytesWritten, 0),
      receivedBytes: sockets.reduce((sum, socket) => sum + socket.bytesRead, 0)
    }
  }

  stop (): void {
    for (const timer of this.#timers) clearInterval(timer)
    this.#agent.destroy()
  }

  #report (worker: number): void {
    this.#sequence += 1
    const report = { incarnation: 1, sequence: this.#sequence, address: `http://127.0.0.1:${20_000 + worker}`, tasks: [] }
    const body = Buffer.from(JSON.stringify(report))
    const address = this.#addresses[worker % this.#addresses.length] ?? ''
    const headers = { 'content-type': 'application/json', 'content-length': body.length }
    const httpRequest = request(`${address}/v1/workers/worker-${worker}`, { method: 'PUT', agent: this.#agent, headers })
    httpRequest.on('socket', socket => { this.#sockets.add(socket) })
    httpRequest.on('response', response => {
      if (response.statusCode === 200) this.#answered += 1
      else this.#failed += 1
      response.resume()
    })
    httpRequest.on('error', () => { this.#failed += 1 })
    httpRequest.end(body)
  }
}

/** Measures 5 nodes; the workers report to the 2 nodes without the control role. */
export async function run ({ quick }: { readonly quick: boolean }): Promise<BenchTable[]> {
  const sizes = quick ? QUICK_WORKER_COUNTS : WORKER_COUNTS
  const cluster = await LocalCluster.start({ nodes: 5, controlNodes: 3 })
  try {
    await loadInventory(cluster, Math.max(...sizes))
    const idle = await measureIdleResourceUse(cluster, IDLE_MS)
    const rows: string[][] = []
    for (const workers of sizes) rows.push(await measureWorkers(cluster, workers, idle))
    return [reportTable(rows), frameTable()]
  } finally {
    await cluster.stop()
  }
}

async function measureWorkers (
  cluster: LocalCluster, workers: number, idle: readonly ResourceUse[]
): Promise<string[]> {
  const reportingWorkers = new ReportingWorkers(cluster.addresses.slice(3))
  reportingWorkers.start(workers)
  await pause(WARM_UP_MS)
  const before = reportingWorkers.traffic
  const uses = await measureResourceUse(cluster, async () => { await pause(DURATION_MS) })
  const after = reportingWorkers.traffic
  reportingWorkers.stop()
  const answered = after.answered - before.answered
  const perSecond = answered * 1_000 / DURATION_MS
  const microsPerReport = (role: MeasuredRole, nodes: number) => {
    const percent = (meanOfRole(uses, role)?.corePercent ?? 0) - (meanOfRole(idle, role)?.corePercent ?? 0)
    // 1 % of a core is 10,000 us per second.
    return (percent * nodes * 10_000 / perSecond).toFixed(0)
  }
  const sentBytesPerReport = (role: MeasuredRole, nodes: number) => {
    const bytes = (meanOfRole(uses, role)?.sentBytesPerSecond ?? 0) - (meanOfRole(idle, role)?.sentBytesPerSecond ?? 0)
    return (bytes * nodes / perSecond).toFixed(0)
  }
  return [
    String(workers),
    perSecond.toFixed(1),
    String(after.failed - before.failed),
    ...(['leader', 'voter', 'entry'] as const).map(role => meanOfRole(uses, role)?.corePercent.toFixed(2) ?? '-'),
    microsPerReport('entry', 2),
    microsPerReport('leader', 1),
    ((after.sentBytes - before.sentBytes) / answered).toFixed(0),
    ((after.receivedBytes - before.receivedBytes) / answered).toFixed(0),
    sentBytesPerReport('entry', 2),
    sentBytesPerReport('leader', 1)
  ]
}

/**
 * "HTTP in" and "HTTP out" are seen from the nodes. The columns per report are above the idle cluster, except for HTTP;
 * "entry to leader" is all that the 2 entry nodes send to any node.
 */
function reportTable (rows: string[][]): BenchTable {
  return {
    title: `Reports of workers without tasks, one each ${REPORT_INTERVAL_MS} ms, through 2 of 5 nodes`,
    columns: [
      'workers', 'reports/s', 'failed', 'leader %', 'voter %', 'entry %', 'entry us/report', 'leader us/report',
      'HTTP in B/report', 'HTTP out B/report', 'entry to leader B/report', 'leader sent B/report'
    ],
    rows
  }
}

/** Sizes of the frame with which an entry node forwards a report to the leader. */
function frameTable (): BenchTable {
  const task = { jobId: '01890000-0000-7000-8000-000000000001', taskIndex: 3, leaseId: 1_234_567, state: 'running' as const }
  const frameOf = (tasks: number) => encodeFrame({
    kind: 'control_request',
    requestId: '01890000-0000-7000-8000-000000000002',
    operation: {
      kind: 'report_worker',
      report: {
        workerId: 'worker-20999',
        incarnation: 1_800_000_000_000,
        sequence: 1_000_000,
        address: 'http://10.0.82.7:8080',
        tasks: Array.from({ length: tasks }, () => task)
      }
    }
  }, 'numbered')
  const rows = [0, TASKS_PER_WORKER].map(tasks => [String(tasks), String(frameOf(tasks).length)])
  return { title: 'Frame of a report from an entry node to the leader', columns: ['tasks', 'bytes'], rows }
}
