/** Stand-ins of the demo: the workers of the inventory and two backend servers a region. */
import type { ConfigurationDocument } from '@comfreygrade/core'
import { StandInBackendServer } from './backend-server.js'
import { demoRunMs } from './demo-workload.js'
import { RunTimeByClass } from './run-times.js'
import { StandInWorker } from './worker.js'

/** Run time of a job class that the demo does not name. */
const DEFAULT_RUN_MS = 1_000

const SERVERS_PER_REGION = 2

/** Starts and stops the stand-ins together. */
export class DemoFleet {
  readonly workers: readonly StandInWorker[]
  readonly backendServers: readonly StandInBackendServer[]

  /**
   * @example
   * const fleet = new DemoFleet(document, ['http://127.0.0.1:8080'])
   * await fleet.start()
   * await fleet.stop()
   */
  constructor (document: ConfigurationDocument, entries: readonly string[]) {
    const runTimes = new RunTimeByClass(demoRunMs, DEFAULT_RUN_MS)
    this.workers = document.workers.map(({ workerId, accelerators }, index) => (
      new StandInWorker({ workerId, accelerators, runTimes, entries: rotate(entries, index) })))
    const regions = [...new Set(document.racks.map(rack => rack.region))]
    this.backendServers = regions.flatMap(region => Array.from({ length: SERVERS_PER_REGION }, (_, index) => (
      new StandInBackendServer({
        backendServerId: `${region}-b${index + 1}`,
        region,
        availabilityZone: `${region}-a`,
        entries: rotate(entries, index)
      }))))
  }

  /** Starts and announces all of them. */
  async start (): Promise<void> {
    await Promise.all(this.#all.map(async standIn => await standIn.start()))
  }

  /** Lets all of them leave gracefully. */
  async stop (): Promise<void> {
    await Promise.all(this.#all.map(async standIn => await standIn.stop()))
  }

  /** Ends all of them at once. */
  async kill (): Promise<void> {
    await Promise.all(this.#all.map(async standIn => await standIn.kill()))
  }

  get #all (): ReadonlyArray<StandInWorker | StandInBackendServer> {
    return [...this.workers, ...this.backendServers]
  }
}

/** Spreads the announcements over the entry nodes. */
function rotate (entries: readonly string[], by: number): string[] {
  const start = by % entries.length
  return [...entries.slice(start), ...entries.slice(0, start)]
}
