/** Policies that select a backend server for a request. */
import type { Random } from '@comfreygrade/core'
import type { ServerState, LocalityTiers } from './server-pool.js'
import type { WorkClass } from './service-time-estimator.js'

/** Input of a policy: the request, the servers of its service and the current time. */
export interface Selection {
  readonly tiers: LocalityTiers
  readonly workClass: WorkClass
  /**
   * Whether the request is safe to use as the probe of an ejected server, as it can be retried. Other requests are used
   * only if no other server has capacity.
   */
  readonly isProbeSafe: boolean
  /** Servers on which earlier attempts failed; used again only if no other server has capacity. */
  readonly attemptedServerIds: ReadonlySet<string>
  /** Number of entry VMs that share the servers, including this one. */
  readonly entryVmCount: number
  readonly nowMs: number
}

/** Decides which backend server gets a request, or that the request has to wait. */
export abstract class RoutingPolicy {
  /** Returns the server for a request, or undefined if no server can take it now. */
  abstract choose (selection: Selection, random: Random): ServerState | undefined
  /** Whether a server with a freed slot may take a waiting request. */
  abstract accepts (server: ServerState, selection: Selection): boolean
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

  override choose (selection: Selection, random: Random): ServerState | undefined {
    return this.#chooseByTier(selection, random, isPreferred) ?? this.#chooseByTier(selection, random, isAvailable)
  }

  override accepts (server: ServerState, selection: Selection): boolean {
    return isPreferred(server, selection)
  }

  #chooseByTier (selection: Selection, random: Random, filter: ServerFilter): ServerState | undefined {
    for (const tier of selection.tiers) {
      const chosen = this.#chooseInTier(tier, selection, random, filter)
      if (chosen !== undefined) return chosen
    }
    return undefined
  }

  /** If none of the random servers has capacity, searches the whole tier from a random position. */
  #chooseInTier (
    tier: readonly ServerState[], selection: Selection, random: Random, filter: ServerFilter
  ): ServerState | undefined {
    if (tier.length === 0) return undefined
    let best: ServerState | undefined
    for (let draw = 0; draw < this.#randomChoices; draw++) {
      const server = tier[random.nextInt(0, tier.length - 1)]!
      if (filter(server, selection)) best = lessLoaded(best, server, selection.nowMs)
    }
    return best ?? findFrom(tier, random.nextInt(0, tier.length - 1), server => filter(server, selection))
  }
}

/** Baseline for comparisons: round robin over all serving servers, regardless of limits, locality and health. */
export class RoundRobinPolicy extends RoutingPolicy {
  #nextIndex = 0

  override choose (selection: Selection): ServerState | undefined {
    const servers = selection.tiers.flat().filter(server => server.isServing(selection.nowMs))
    return servers[this.#nextIndex++ % servers.length]
  }

  override accepts (server: ServerState, selection: Selection): boolean {
    return server.isServing(selection.nowMs)
  }
}

type ServerFilter = (server: ServerState, selection: Selection) => boolean

function isAvailable (server: ServerState, selection: Selection): boolean {
  const { workClass, entryVmCount, nowMs } = selection
  if (!server.hasCapacity(workClass, entryVmCount, nowMs) || !server.isServing(nowMs)) return false
  const state = server.ejection.state(nowMs)
  return state === 'in_service' || state === 'probe_due'
}

function isPreferred (server: ServerState, selection: Selection): boolean {
  if (selection.attemptedServerIds.has(server.id)) return false
  if (!selection.isProbeSafe && server.ejection.state(selection.nowMs) === 'probe_due') return false
  return isAvailable(server, selection)
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
