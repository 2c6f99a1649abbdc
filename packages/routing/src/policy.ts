/** Policies that select a backend server for a request. */
import type { Random } from '@comfreygrade/core'
import type { ServerState, LocalityTiers } from './server-pool.js'
import type { WorkClass } from './service-time-estimator.js'

/** Input of a policy: properties of the request, the servers of its service and the current time. */
export interface SelectionContext {
  readonly tiers: LocalityTiers
  readonly workClass: WorkClass
  /**
   * Whether the request is safe to use as the probe of an ejected server, as it can be retried. Other requests are used
   * only if no other server has capacity.
   */
  readonly isProbeSafe: boolean
  /** Servers on which earlier attempts failed; used again only if no other server has capacity. */
  readonly attemptedServerIds: ReadonlySet<string>
  /** Number of entry VMs that share the servers: this one and the peers whose load reports are recent. */
  readonly entryVmCount: number
  readonly nowMs: number
}

/** Decides which backend server gets a request, or that the request has to wait. */
export abstract class RoutingPolicy {
  /** Returns the server for a request, or undefined if no server can take it now. */
  abstract choose (context: SelectionContext, random: Random): ServerState | undefined
  /** Whether a server with a freed slot may take a waiting request. Other servers are not considered. */
  abstract accepts (server: ServerState, context: SelectionContext): boolean
}

/**
 * Prefers the nearest locality tier with capacity, and within it the least loaded of a few random servers (power of two
 * choices; Mitzenmacher, 2001).
 *
 * @example
 * const policy = new LocalityPolicy(defaultRoutingSettings.randomChoices)
 */
export class LocalityPolicy extends RoutingPolicy {
  readonly #randomChoices: number

  constructor (randomChoices: number) {
    super()
    this.#randomChoices = randomChoices
  }

  override choose (context: SelectionContext, random: Random): ServerState | undefined {
    return this.#chooseByTier(context, random, isPreferred) ?? this.#chooseByTier(context, random, isAvailable)
  }

  /**
   * A freed slot is not given to a request that may use this server only if no other server has capacity, as the other
   * servers are not searched here. `choose` searches them all and falls back to this server.
   */
  override accepts (server: ServerState, context: SelectionContext): boolean {
    return isPreferred(server, context)
  }

  #chooseByTier (context: SelectionContext, random: Random, filter: ServerFilter): ServerState | undefined {
    for (const tier of context.tiers) {
      const chosen = this.#chooseInTier(tier, context, random, filter)
      if (chosen !== undefined) return chosen
    }
    return undefined
  }

  /** If none of the random servers has capacity, searches the whole tier from a random position. */
  #chooseInTier (
    tier: readonly ServerState[], context: SelectionContext, random: Random, filter: ServerFilter
  ): ServerState | undefined {
    if (tier.length === 0) return undefined
    let best: ServerState | undefined
    for (let draw = 0; draw < this.#randomChoices; draw++) {
      const server = tier[random.nextInt(0, tier.length - 1)]!
      if (filter(server, context)) best = lessLoaded(best, server, context.nowMs)
    }
    return best ?? findFrom(tier, random.nextInt(0, tier.length - 1), server => filter(server, context))
  }
}

/** Baseline for comparisons: round robin over all serving servers, regardless of limits, locality and health. */
export class RoundRobinPolicy extends RoutingPolicy {
  #nextIndex = 0

  override choose (context: SelectionContext): ServerState | undefined {
    const servers = context.tiers.flat().filter(server => server.isServing(context.nowMs))
    return servers[this.#nextIndex++ % servers.length]
  }

  override accepts (server: ServerState, context: SelectionContext): boolean {
    return server.isServing(context.nowMs)
  }
}

type ServerFilter = (server: ServerState, context: SelectionContext) => boolean

function isAvailable (server: ServerState, context: SelectionContext): boolean {
  const { workClass, entryVmCount, nowMs } = context
  if (!server.hasCapacity(workClass, entryVmCount, nowMs) || !server.isServing(nowMs)) return false
  const state = server.ejection.state(nowMs)
  return state === 'in_service' || state === 'probe_due'
}

function isPreferred (server: ServerState, context: SelectionContext): boolean {
  if (context.attemptedServerIds.has(server.id)) return false
  if (!context.isProbeSafe && server.ejection.state(context.nowMs) === 'probe_due') return false
  return isAvailable(server, context)
}

function lessLoaded (left: ServerState | undefined, right: ServerState, nowMs: number): ServerState {
  return left !== undefined && left.load(nowMs) <= right.load(nowMs) ? left : right
}

function findFrom<T> (items: readonly T[], start: number, predicate: (item: T) => boolean): T | undefined {
  for (let step = 0; step < items.length; step++) {
    const item = items[(start + step) % items.length]!
    if (predicate(item)) return item
  }
  return undefined
}
