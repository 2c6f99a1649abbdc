/** Leadership transfer (section 3.10 of the Raft thesis). */
import type { VoterId } from './messages.js'
import type { PeerProgress } from './progress.js'
import type { Replication } from './replication.js'
import type { ReplicaState } from './state.js'

/** Waits until the target voter has caught up and then asks it to start an election at once. */
export class LeadershipTransfer<Command> {
  readonly #state: ReplicaState<Command>
  readonly #replication: Replication<Command>
  #target: VoterId | null = null
  #isRequestSent = false
  #deadlineAtMs = Infinity

  constructor (state: ReplicaState<Command>, replication: Replication<Command>) {
    this.#state = state
    this.#replication = replication
  }

  /** Whether a transfer is in progress; proposals are rejected meanwhile. */
  get isActive (): boolean {
    return this.#target !== null
  }

  /** Whether the target may have started an election, which invalidates the lease of this leader. */
  get isRequestSent (): boolean {
    return this.#isRequestSent
  }

  /**
   * Monotonic time at which the transfer is cancelled or, if the request was already sent, expires (see `isExpired`);
   * `Infinity` if no transfer is in progress.
   */
  get deadlineAtMs (): number {
    return this.#deadlineAtMs
  }

  /**
   * Whether the target was asked to start an election but did not win it in time. The leader must then step down: the
   * request may still arrive later, and voters would grant their votes in spite of a valid lease.
   */
  get isExpired (): boolean {
    return this.#isRequestSent && this.#state.nowMs >= this.#deadlineAtMs
  }

  /** Starts a transfer to the most up-to-date voter among those that respond; has no effect if there is none. */
  start (): void {
    if (this.isActive) return
    const target = this.#bestTarget()
    if (target === undefined) return
    this.#target = target.id
    this.#deadlineAtMs = this.#state.nowMs + this.#state.settings.transferTimeoutMs
    this.sendWhenCaughtUp()
  }

  /** Sends the request once the target has the whole log; cancels the transfer if it is unsent at the deadline. */
  sendWhenCaughtUp (): void {
    if (this.#target === null || this.#isRequestSent) return
    if (this.#state.nowMs >= this.#deadlineAtMs) return this.#cancel()
    if (this.#replication.peer(this.#target)?.matchIndex !== this.#state.log.lastIndex) return
    this.#sendRequest(this.#target)
  }

  /** Sends the request to the most up-to-date voter if that voter already has the whole log; does not wait. */
  sendIfCaughtUp (): void {
    const target = this.#bestTarget()
    if (target?.matchIndex === this.#state.log.lastIndex) this.#sendRequest(target.id)
  }

  #sendRequest (target: VoterId): void {
    this.#isRequestSent = true
    this.#state.send(target, { kind: 'transfer_leadership', term: this.#state.term })
  }

  #cancel (): void {
    this.#target = null
    this.#deadlineAtMs = Infinity
  }

  #bestTarget (): PeerProgress | undefined {
    const { configuration, nowMs, settings } = this.#state
    return configuration.voters
      .map(voter => this.#replication.peer(voter))
      .filter(peer => peer !== undefined)
      .filter(peer => nowMs - peer.lastContactAtMs < settings.checkQuorumMs)
      .reduce<PeerProgress | undefined>((best, peer) => {
        return best === undefined || isBetterTarget(peer, best) ? peer : best
      }, undefined)
  }
}

function isBetterTarget (peer: PeerProgress, other: PeerProgress): boolean {
  if (peer.matchIndex !== other.matchIndex) return peer.matchIndex > other.matchIndex
  return peer.lastContactAtMs > other.lastContactAtMs
}
