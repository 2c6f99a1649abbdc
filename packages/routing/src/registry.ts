/** Backend servers known to one entry VM. */
import type { BackendServerRecord } from '@comfreygrade/core'

/** Registry of announced backend servers, ordered by (incarnation, sequence) so that an old record never wins. */
export class BackendRegistry {
  readonly #expireAfterMs: number
  readonly #servers = new Map<string, { record: BackendServerRecord, heardAtMs: number }>()

  constructor (expireAfterMs: number) {
    this.#expireAfterMs = expireAfterMs
  }

  /**
   * Takes a heartbeat or a record of a peer that heard it `ageMs` ago.
   *
   * @returns whether the record is newer than what was known
   */
  announce (record: BackendServerRecord, nowMs: number, ageMs = 0): boolean {
    const known = this.#servers.get(record.backendServerId)
    if (known !== undefined && !isNewer(record, known.record)) return false
    this.#servers.set(record.backendServerId, { record, heardAtMs: nowMs - ageMs })
    return true
  }

  /** Backend servers that may receive new work of a service. */
  active (service: string, nowMs: number): BackendServerRecord[] {
    const records: BackendServerRecord[] = []
    for (const { record, heardAtMs } of this.#servers.values()) {
      const isFresh = nowMs - heardAtMs < this.#expireAfterMs
      if (record.state === 'active' && isFresh && record.services.includes(service)) records.push(record)
    }
    return records
  }
}

function isNewer (left: BackendServerRecord, right: BackendServerRecord): boolean {
  if (left.incarnation !== right.incarnation) return left.incarnation > right.incarnation
  return left.sequence > right.sequence
}
