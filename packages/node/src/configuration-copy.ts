/** A node's copy of the configuration, which it may serve under while it holds a lease of the control leader. */
import {
  applyChange, emptyConfiguration, fromDocument, type Clock, type Configuration, type EventLog
} from '@comfreygrade/core'
import type { Drain } from '@comfreygrade/control'
import type { FeedContent, PeerMessage } from './peer-messages.js'

type Feed = Extract<PeerMessage, { kind: 'feed' }>

/** Called after a change of the configuration or of the drains. */
export type ConfigurationListener = (configuration: Configuration, drains: readonly Drain[]) => void

/** Copy of the configuration in force; version and term never decrease. */
export class ConfigurationCopy {
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #listeners: ConfigurationListener[] = []
  #configuration = emptyConfiguration()
  #drains: readonly Drain[] = []
  #term = 0
  #leaderNodeId: string | null = null
  #leaseExpiresAtMs = -Infinity

  constructor (clock: Clock, log: EventLog) {
    this.#clock = clock
    this.#log = log
  }

  get configuration (): Configuration {
    return this.#configuration
  }

  get drains (): readonly Drain[] {
    return this.#drains
  }

  /** Node that last acted as control leader. */
  get leaderNodeId (): string | null {
    return this.#leaderNodeId
  }

  /** Whether this node may serve under its copy. */
  get hasLease (): boolean {
    return this.#clock.monotonicMs() < this.#leaseExpiresAtMs
  }

  onChange (listener: ConfigurationListener): void {
    this.#listeners.push(listener)
  }

  /**
   * Applies a feed of the leader. One of an older term has no effect, and content of an older version has none on the
   * configuration.
   */
  receive (feed: Feed): void {
    if (feed.term < this.#term) return
    if (feed.leaderNodeId !== this.#leaderNodeId) {
      this.#log.info('control leader changed', { leaderNodeId: feed.leaderNodeId, term: feed.term })
    }
    this.#term = feed.term
    this.#leaderNodeId = feed.leaderNodeId
    const isCurrent = this.#applyContent(feed.content)
    if (isCurrent && feed.requestSentAtMs !== null) {
      this.#leaseExpiresAtMs = Math.max(this.#leaseExpiresAtMs, feed.requestSentAtMs + feed.leaseMs)
    }
    if (isCurrent) this.#applyDrains(feed.drains)
  }

  /** Returns whether the copy is at the version of the content afterwards. */
  #applyContent (content: FeedContent): boolean {
    if (content.kind === 'full') {
      if (content.version > this.#configuration.version) {
        this.#replace(fromDocument(content.document, content.version))
      }
      return content.version === this.#configuration.version
    }
    if (content.baseVersion > this.#configuration.version) return false
    let next = this.#configuration
    for (const change of content.changes) {
      if (change.version <= next.version) continue
      const result = applyChange(next, change)
      if (!result.ok) return false
      next = result.value
    }
    if (next !== this.#configuration) this.#replace(next)
    return content.baseVersion + content.changes.length === this.#configuration.version
  }

  #replace (next: Configuration): void {
    this.#configuration = next
    this.#log.info('configuration in force', { version: next.version })
    this.#notifyListeners()
  }

  #applyDrains (drains: readonly Drain[]): void {
    if (JSON.stringify(drains) === JSON.stringify(this.#drains)) return
    this.#drains = drains
    this.#notifyListeners()
  }

  #notifyListeners (): void {
    for (const listener of this.#listeners) listener(this.#configuration, this.#drains)
  }
}
