/**
 * Evacuations of availability zones: nothing more is started in a zone from an operator's request until its withdrawal.
 *
 * Failure: a zone that is about to lose power, cooling or its network.
 */
import type { CommandResult, EvacuationRequest } from './commands.js'

/** The latest evacuation of a zone. */
export interface EvacuationRecord {
  readonly zone: string
  /** Unix time of the request; a repeated request does not change it. */
  readonly requestedWallMs: number
  /** Address that sent the request. */
  readonly requestedBy: string
  /** Unix time of the withdrawal; absent while the zone is evacuated. */
  readonly endedWallMs?: number
}

/**
 * The replicated record of the evacuations. Requests and withdrawals take effect in the order of the log.
 *
 * @example
 * const evacuations = new Evacuations([])
 * evacuations.start({ zone: 'z1', requestedBy: '10.0.0.7', requestedWallMs: 5 }) // { kind: 'applied' }
 */
export class Evacuations {
  readonly #records: Map<string, EvacuationRecord>

  constructor (records: readonly EvacuationRecord[]) {
    this.#records = new Map(records.map(record => [record.zone, record]))
  }

  /** A zone that is evacuated already counts as evacuated since the first request. */
  start ({ zone, requestedBy, requestedWallMs }: EvacuationRequest): CommandResult {
    if (this.isEvacuated(zone)) return { kind: 'unchanged' }
    this.#records.set(zone, { zone, requestedWallMs, requestedBy })
    return { kind: 'applied' }
  }

  /** Changes nothing for a zone that is not evacuated. */
  end ({ zone, requestedWallMs }: Omit<EvacuationRequest, 'requestedBy'>): CommandResult {
    const record = this.#records.get(zone)
    if (record === undefined || !this.isEvacuated(zone)) return { kind: 'unchanged' }
    this.#records.set(zone, { ...record, endedWallMs: requestedWallMs })
    return { kind: 'applied' }
  }

  /** Whether nothing may start in the zone. */
  isEvacuated (zone: string): boolean {
    const record = this.#records.get(zone)
    return record !== undefined && record.endedWallMs === undefined
  }

  /** Whether any zone is evacuated. */
  get isAnyEvacuated (): boolean {
    return [...this.#records.values()].some(record => record.endedWallMs === undefined)
  }

  /** The latest evacuation of a zone, also one that has ended. */
  latestOf (zone: string): EvacuationRecord | undefined {
    return this.#records.get(zone)
  }

  /** The latest evacuation of each zone, in order of the first requests. */
  records (): EvacuationRecord[] {
    return [...this.#records.values()]
  }
}
