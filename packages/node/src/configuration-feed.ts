/** The control leader's side of the configuration feed: content, leases and pushes. */
import { toDocument, type Clock } from '@comfreygrade/core'
import type { ConfigurationStatus, ControlState } from '@comfreygrade/control'
import { NodeLeases } from './node-leases.js'
import type { FeedContent, PeerMessage } from './peer-messages.js'

type Feed = Extract<PeerMessage, { kind: 'feed' }>
type FeedRequest = Extract<PeerMessage, { kind: 'feed_request' }>

/** Options of {@link ConfigurationFeed}. */
export interface ConfigurationFeedOptions {
  readonly selfNodeId: string
  readonly nodeIds: readonly string[]
  readonly leaseMs: number
  readonly clock: Clock
  readonly send: (nodeId: string, message: PeerMessage) => boolean
  /** Delivers a feed to this node's own copy. */
  readonly feedLocal: (feed: Feed) => void
}

/** Feeds every node while this one leads. */
export class ConfigurationFeed {
  readonly #options: ConfigurationFeedOptions
  readonly #leases: NodeLeases

  constructor (options: ConfigurationFeedOptions) {
    this.#options = options
    this.#leases = new NodeLeases(options.nodeIds, options.leaseMs)
  }

  /** Starts a term. */
  restart (): void {
    this.#leases.restart(this.#options.clock.monotonicMs())
  }

  /** Answers a node's request, which also renews its lease. */
  answer (nodeId: string, request: FeedRequest, state: ControlState, term: number): Feed {
    this.#leases.renew(nodeId, request.version, state.configuration.version, this.#options.clock.monotonicMs())
    return this.#compose(request.version, request.sentAtMs, state, term)
  }

  /** Sends what is new without waiting for requests, so that a change is in force within a round trip. */
  push (state: ControlState, term: number): void {
    const { selfNodeId, nodeIds, send, feedLocal } = this.#options
    for (const nodeId of nodeIds) {
      const feed = this.#compose(this.#leases.acknowledgedVersion(nodeId), null, state, term)
      if (nodeId === selfNodeId) feedLocal(feed)
      else send(nodeId, feed)
    }
  }

  /** How far a version has spread. */
  status (version: number): ConfigurationStatus {
    return this.#leases.status(version, this.#options.clock.monotonicMs())
  }

  #compose (sinceVersion: number, requestSentAtMs: number | null, state: ControlState, term: number): Feed {
    const { selfNodeId, leaseMs } = this.#options
    const drains = state.drains()
    const content = contentSince(sinceVersion, state)
    return { kind: 'feed', term, leaderNodeId: selfNodeId, content, drains, requestSentAtMs, leaseMs }
  }
}

function contentSince (baseVersion: number, state: ControlState): FeedContent {
  const changes = state.changesSince(baseVersion)
  if (changes !== undefined) return { kind: 'changes', baseVersion, changes }
  return { kind: 'full', version: state.configuration.version, document: toDocument(state.configuration) }
}
