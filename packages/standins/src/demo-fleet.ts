/** Stand-ins of the demo: the workers of the inventory, and two backend servers per region. */
import type { ConfigurationDocument } from '@comfreygrade/core'
import { StandInBackendServer } from './backend-server.js'
import { demoRunMsByClass } from './demo-workload.js'
import { RunTimeByClass } from './run-times.js'
import { StandInWorker } from './worker.js'

/** Run time of tasks whose job class is not in `demoRunMsByClass`. */
const DEFAULT_RUN_TIME_MS = 1_000

const BACKEND_SERVERS_PER_REGION = 2

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
  constructor (document: ConfigurationDocument, entryAddresses: readonly string[]) {
    const runTimes = new RunTimeByClass(demoRunMsByClass, DEFAULT_RUN_TIME_MS)
    this.workers = document.workers.map(({ workerId, accelerators }, index) => (
      new StandInWorker({ workerId, accelerators, runTimes, entryAddresses: rotate(entryAddresses, index) })))
    const regions = [...new Set(document.racks.map(rack => rack.region))]
    this.backendServers = regions.flatMap(region => Array.from({ length: BACKEND_SERVERS_PER_REGION }, (_, index) => (
      new StandInBackendServer({
        backendServerId: `${region}-b${index + 1}`,
        region,
        availabilityZone: `${region}-a`,
        entryAddresses: rotate(entryAddresses, index)
      }))))
  }

  /** Starts all stand-ins, which register themselves. */
  async start (): Promise<void> {
    await Promise.all(this.#all.map(async standIn => await standIn.start()))
  }

  /** Shuts all stand-ins down gracefully. */
  async stop (): Promise<void> {
    await Promise.all(this.#all.map(async standIn => await standIn.stop()))
  }

  /** Stops all stand-ins without deregistering them. */
  async kill (): Promise<void> {
    await Promise.all(this.#all.map(async standIn => await standIn.kill()))
  }

  get #all (): ReadonlyArray<StandInWorker | StandInBackendServer> {
    return [...this.workers, ...this.backendServers]
  }
}

/** Spreads the heartbeats of the stand-ins over the entry nodes. */
function rotate (addresses: readonly string[], offset: number): string[] {
  const start = offset % addresses.length
  return [...addresses.slice(start), ...addresses.slice(0, start)]
}
