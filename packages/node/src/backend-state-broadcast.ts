/** Broadcasts backend server records and load reports to the other nodes. */
import type { BackendServerRecord, Clock } from '@comfreygrade/core'
import type { BackendRegistry, RequestRouter } from '@comfreygrade/routing'
import { startInterval } from '@comfreygrade/timers'
import type { PeerMessage } from './peer-messages.js'

/** Options of {@link BackendStateBroadcast}. */
export interface BackendStateBroadcastOptions {
  readonly registry: BackendRegistry
  readonly router: RequestRouter
  readonly clock: Clock
  readonly recordIntervalMs: number
  readonly loadIntervalMs: number
  readonly maxLoadReportBytes: number
  readonly broadcast: (message: PeerMessage) => void
  /** Called when backend servers or the load of peers have changed, so that queued requests may become dispatchable. */
  readonly onChange: () => void
}

/** Bounds the frame size after a burst of announcements. */
const MAX_RECORDS_PER_MESSAGE = 256

/**
 * Batches and broadcasts the records that backend servers announced to this node. Records received from peers are not
 * forwarded, as every node sends to all others.
 */
export class BackendStateBroadcast {
  readonly #options: BackendStateBroadcastOptions
  readonly #unsentRecords = new Map<string, BackendServerRecord>()
  #recordTimer: NodeJS.Timeout | undefined
  #loadTimer: NodeJS.Timeout | undefined

  constructor (options: BackendStateBroadcastOptions) {
    this.#options = options
  }

  start (): void {
    const { recordIntervalMs, loadIntervalMs } = this.#options
    this.#recordTimer = startInterval(recordIntervalMs, () => { this.#broadcastRecords() })
    this.#loadTimer = startInterval(loadIntervalMs, () => { this.#broadcastLoad() })
  }

  /** Registers a record that a backend server announced to this node, and queues a new one for the broadcast. */
  announce (record: BackendServerRecord): void {
    const isNew = this.#options.registry.announce(record, this.#options.clock.monotonicMs())
    if (!isNew) return
    this.#options.onChange()
    this.#unsentRecords.set(record.backendServerId, record)
    // Sent at once instead of with the next batch, as a leaving server must get no more requests.
    if (record.state === 'leaving') this.#broadcastRecords()
  }

  /** Handles a message of a peer. */
  receive (fromNodeId: string, message: Extract<PeerMessage, { kind: 'members' | 'load' }>): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (message.kind === 'load') {
      this.#options.router.applyPeerLoadReport(fromNodeId, message.report, nowMs)
    } else {
      for (const { record, ageMs } of message.records) this.#options.registry.announce(record, nowMs, ageMs)
    }
    this.#options.onChange()
  }

  /** Sends all known records, for a peer that has just connected. */
  sendAllRecords (send: (message: PeerMessage) => void): void {
    const { records } = this.#options.registry.changedSince(0, this.#options.clock.monotonicMs())
    for (let start = 0; start < records.length; start += MAX_RECORDS_PER_MESSAGE) {
      send({ kind: 'members', records: records.slice(start, start + MAX_RECORDS_PER_MESSAGE) })
    }
  }

  stop (): void {
    clearInterval(this.#recordTimer)
    clearInterval(this.#loadTimer)
  }

  #broadcastRecords (): void {
    const records = [...this.#unsentRecords.values()].map(record => ({ record, ageMs: 0 }))
    this.#unsentRecords.clear()
    for (let start = 0; start < records.length; start += MAX_RECORDS_PER_MESSAGE) {
      this.#options.broadcast({ kind: 'members', records: records.slice(start, start + MAX_RECORDS_PER_MESSAGE) })
    }
  }

  #broadcastLoad (): void {
    const report = this.#options.router.nextLoadReport(
      this.#options.maxLoadReportBytes, this.#options.clock.monotonicMs())
    if (report.entries.length > 0) this.#options.broadcast({ kind: 'load', report })
  }
}
