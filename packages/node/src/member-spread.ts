/** Spreads backend server records and in-flight counts between entry VMs. */
import type { BackendServerRecord, Clock } from '@comfreygrade/core'
import type { BackendRegistry, RequestRouter } from '@comfreygrade/routing'
import type { PeerMessage } from './peer-messages.js'

/** Options of {@link MemberSpread}. */
export interface MemberSpreadOptions {
  readonly registry: BackendRegistry
  readonly router: RequestRouter
  readonly clock: Clock
  readonly memberIntervalMs: number
  readonly loadIntervalMs: number
  readonly maxLoadBytes: number
  readonly broadcast: (message: PeerMessage) => void
  /** Servers or the load of peers have changed, so requests that wait may go on. */
  readonly onChanged: () => void
}

/** Records in one message, so that a burst of announcements does not make one large frame. */
const MAX_RECORDS_PER_MESSAGE = 256

/** Batches what this node heard itself; records heard from peers are not sent on, as every node hears every other. */
export class MemberSpread {
  readonly #options: MemberSpreadOptions
  readonly #heard = new Map<string, BackendServerRecord>()
  #memberTimer: NodeJS.Timeout | undefined
  #loadTimer: NodeJS.Timeout | undefined

  constructor (options: MemberSpreadOptions) {
    this.#options = options
  }

  /** Starts the timers. */
  start (): void {
    const { memberIntervalMs, loadIntervalMs } = this.#options
    this.#memberTimer = setInterval(() => { this.#sendMembers() }, memberIntervalMs)
    this.#loadTimer = setInterval(() => { this.#sendLoad() }, loadIntervalMs)
  }

  /** Takes a heartbeat that came to this node. */
  announce (record: BackendServerRecord): void {
    const isNew = this.#options.registry.announce(record, this.#options.clock.monotonicMs())
    if (!isNew) return
    this.#options.onChanged()
    this.#heard.set(record.backendServerId, record)
    // A server that leaves must get no more work, so this does not wait for the next batch.
    if (record.state === 'leaving') this.#sendMembers()
  }

  /** Takes a message of a peer. */
  receive (fromNodeId: string, message: Extract<PeerMessage, { kind: 'members' | 'load' }>): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (message.kind === 'load') {
      this.#options.router.peerLoad(fromNodeId, message.report, nowMs)
    } else {
      for (const { record, ageMs } of message.records) this.#options.registry.announce(record, nowMs, ageMs)
    }
    this.#options.onChanged()
  }

  /** Sends all that is known to peers, for a node that has just connected. */
  catchUp (send: (message: PeerMessage) => void): void {
    const { records } = this.#options.registry.changedSince(0, this.#options.clock.monotonicMs())
    for (let start = 0; start < records.length; start += MAX_RECORDS_PER_MESSAGE) {
      send({ kind: 'members', records: records.slice(start, start + MAX_RECORDS_PER_MESSAGE) })
    }
  }

  /** Stops the timers. */
  stop (): void {
    clearInterval(this.#memberTimer)
    clearInterval(this.#loadTimer)
  }

  #sendMembers (): void {
    const records = [...this.#heard.values()].map(record => ({ record, ageMs: 0 }))
    this.#heard.clear()
    for (let start = 0; start < records.length; start += MAX_RECORDS_PER_MESSAGE) {
      this.#options.broadcast({ kind: 'members', records: records.slice(start, start + MAX_RECORDS_PER_MESSAGE) })
    }
  }

  #sendLoad (): void {
    const report = this.#options.router.loadReport(this.#options.maxLoadBytes, this.#options.clock.monotonicMs())
    if (report.entries.length > 0) this.#options.broadcast({ kind: 'load', report })
  }
}
