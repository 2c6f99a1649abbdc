/** Transfer of leadership (section 3.10 of the Raft thesis). */
import type { VoterId } from './messages.js'
import type { PeerProgress } from './progress.js'
import type { Replication } from './replication.js'
import type { ReplicaState } from './state.js'

/** Brings one voter up to date and then tells it to campaign at once. */
export class Transfer<Command> {
  readonly #state: ReplicaState<Command>
  readonly #replication: Replication<Command>
  #target: VoterId | null = null
  #isSent = false
  #deadlineMs = Infinity

  constructor (state: ReplicaState<Command>, replication: Replication<Command>) {
    this.#state = state
    this.#replication = replication
  }

  /** While a transfer is under way nothing is proposed. */
  get isActive (): boolean {
    return this.#target !== null
  }

  /** Whether the target may have started to campaign, which ends the lease of this leader. */
  get isSent (): boolean {
    return this.#isSent
  }

  get deadlineMs (): number {
    return this.#deadlineMs
  }

  /**
   * Whether the target was told to campaign and nothing came of it. The leader must then give up its term: the message
   * may still arrive, and voters would answer it during a lease.
   */
  get isExpired (): boolean {
    return this.#isSent && this.#state.nowMs >= this.#deadlineMs
  }

  /** Chooses the voter that is furthest ahead among those that answer; without one nothing changes. */
  start (): void {
    if (this.isActive) return
    const target = this.#bestTarget()
    if (target === undefined) return
    this.#target = target.id
    this.#deadlineMs = this.#state.nowMs + this.#state.settings.transferTimeoutMs
    this.proceed()
  }

  /** Sends the request once the target has everything, or gives up at the deadline. */
  proceed (): void {
    if (this.#target === null || this.#isSent) return
    if (this.#state.nowMs >= this.#deadlineMs) return this.#giveUp()
    if (this.#replication.peer(this.#target)?.matchIndex !== this.#state.log.lastIndex) return
    this.#send(this.#target)
  }

  /** Tells the best voter to campaign, if it has everything, without waiting for it. */
  sendNow (): void {
    const target = this.#bestTarget()
    if (target?.matchIndex === this.#state.log.lastIndex) this.#send(target.id)
  }

  #send (target: VoterId): void {
    this.#isSent = true
    this.#state.send(target, { kind: 'transfer_leadership', term: this.#state.term })
  }

  #giveUp (): void {
    this.#target = null
    this.#deadlineMs = Infinity
  }

  #bestTarget (): PeerProgress | undefined {
    const { configuration, nowMs, settings } = this.#state
    return configuration.voters
      .map(voter => this.#replication.peer(voter))
      .filter(peer => peer !== undefined)
      .filter(peer => nowMs - peer.contactMs < settings.checkQuorumMs)
      .reduce<PeerProgress | undefined>((best, peer) => {
        return best === undefined || isBetterTarget(peer, best) ? peer : best
      }, undefined)
  }
}

function isBetterTarget (peer: PeerProgress, other: PeerProgress): boolean {
  if (peer.matchIndex !== other.matchIndex) return peer.matchIndex > other.matchIndex
  return peer.contactMs > other.contactMs
}
