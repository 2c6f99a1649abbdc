/** Leader's side of the configuration feed, the messages that bring changes, drains and leases to every node. */
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
  /** Delivers a feed to this node's own configuration copy. */
  readonly deliverFeedLocally: (feed: Feed) => void
}

/** Distributes the configuration to every node while this node leads. */
export class ConfigurationFeed {
  readonly #options: ConfigurationFeedOptions
  readonly #leases: NodeLeases

  constructor (options: ConfigurationFeedOptions) {
    this.#options = options
    this.#leases = new NodeLeases(options.nodeIds, options.leaseMs)
  }

  /** Starts a term; leases of the former leader may still be valid. */
  startTerm (): void {
    this.#leases.startTerm(this.#options.clock.monotonicMs())
  }

  /** Answers a feed request, which also renews the lease of the node. */
  answer (nodeId: string, request: FeedRequest, state: ControlState, term: number): Feed {
    this.#leases.renew(nodeId, request.version, state.configuration.version, this.#options.clock.monotonicMs())
    return this.#createFeed(request.version, request.sentAtMs, state, term)
  }

  /**
   * Pushes changes and drains, so that nodes apply them without waiting for their next feed request. A push renews no
   * lease, and a node acknowledges a change only with that request.
   */
  push (state: ControlState, term: number): void {
    const { selfNodeId, nodeIds, send, deliverFeedLocally } = this.#options
    for (const nodeId of nodeIds) {
      const feed = this.#createFeed(this.#leases.acknowledgedVersion(nodeId), null, state, term)
      if (nodeId === selfNodeId) deliverFeedLocally(feed)
      else send(nodeId, feed)
    }
  }

  /** Which nodes have acknowledged a version, and whether it is in force everywhere. */
  status (version: number): ConfigurationStatus {
    return this.#leases.status(version, this.#options.clock.monotonicMs())
  }

  #createFeed (sinceVersion: number, requestSentAtMs: number | null, state: ControlState, term: number): Feed {
    const { selfNodeId, leaseMs } = this.#options
    const drains = state.drains()
    const content = createContentSince(sinceVersion, state)
    return { kind: 'feed', term, leaderNodeId: selfNodeId, content, drains, requestSentAtMs, leaseMs }
  }
}

function createContentSince (baseVersion: number, state: ControlState): FeedContent {
  const changes = state.changesSince(baseVersion)
  if (changes !== undefined) return { kind: 'changes', baseVersion, changes }
  return { kind: 'full', version: state.configuration.version, document: toDocument(state.configuration) }
}
