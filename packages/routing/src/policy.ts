/** Choice of a backend server for one request. */
import type { Random } from '@comfreygrade/core'
import type { ServerState, ServerTiers } from './servers.js'
import type { WorkClass } from './service-classes.js'

/** What a policy knows about the request and the servers of its service. */
export interface Selection {
  readonly tiers: ServerTiers
  readonly workClass: WorkClass
  /** Whether the request may probe a server that failed; other requests do so only where nothing else has room. */
  readonly isProbeWelcome: boolean
  /** Servers that earlier attempts failed on; used only where nothing else has room. */
  readonly avoid: ReadonlySet<string>
  /** Entry VMs that share the servers, this one included. */
  readonly entryVms: number
  readonly nowMs: number
}

/** Decides which backend server gets a request, or that the request waits. */
export abstract class RoutingPolicy {
  /** The server for a request, or undefined while none may take it. */
  abstract choose (selection: Selection, random: Random): ServerState | undefined
  /** Whether a server on which a slot became free may take a waiting request. */
  abstract accepts (server: ServerState, selection: Selection): boolean
}

/**
 * Nearest tier with room; within it the less loaded of a few random servers (power of two choices; Mitzenmacher, 2001).
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
    return this.#chooseByTier(selection, random, isPreferred) ?? this.#chooseByTier(selection, random, isUsable)
  }

  override accepts (server: ServerState, selection: Selection): boolean {
    return isPreferred(server, selection)
  }

  #chooseByTier (selection: Selection, random: Random, accepts: Accepts): ServerState | undefined {
    for (const tier of selection.tiers) {
      const chosen = this.#chooseInTier(tier, selection, random, accepts)
      if (chosen !== undefined) return chosen
    }
    return undefined
  }

  /** Where the random servers have no room, the rest of the tier is searched from a random position. */
  #chooseInTier (
    tier: readonly ServerState[], selection: Selection, random: Random, accepts: Accepts
  ): ServerState | undefined {
    if (tier.length === 0) return undefined
    let best: ServerState | undefined
    for (let choice = 0; choice < this.#randomChoices; choice++) {
      const server = tier[random.nextInt(0, tier.length - 1)]!
      if (accepts(server, selection)) best = lessLoaded(best, server, selection.nowMs)
    }
    return best ?? firstFrom(tier, random.nextInt(0, tier.length - 1), server => accepts(server, selection))
  }
}

/** Baseline: every serving server in turn, without limits, distance or health. */
export class RoundRobinPolicy extends RoutingPolicy {
  #next = 0

  override choose (selection: Selection): ServerState | undefined {
    const servers = selection.tiers.flat().filter(server => server.isServing(selection.nowMs))
    return servers[this.#next++ % servers.length]
  }

  override accepts (server: ServerState, selection: Selection): boolean {
    return server.isServing(selection.nowMs)
  }
}

type Accepts = (server: ServerState, selection: Selection) => boolean

function isUsable (server: ServerState, selection: Selection): boolean {
  const { workClass, entryVms, nowMs } = selection
  if (!server.hasRoom(workClass, entryVms, nowMs) || !server.isServing(nowMs)) return false
  const state = server.ejection.state(nowMs)
  return state === 'in_service' || state === 'probe_due'
}

function isPreferred (server: ServerState, selection: Selection): boolean {
  if (selection.avoid.has(server.id)) return false
  if (!selection.isProbeWelcome && server.ejection.state(selection.nowMs) === 'probe_due') return false
  return isUsable(server, selection)
}

function lessLoaded (left: ServerState | undefined, right: ServerState, nowMs: number): ServerState {
  return left !== undefined && left.load(nowMs) <= right.load(nowMs) ? left : right
}

function firstFrom<T> (items: readonly T[], start: number, accepts: (item: T) => boolean): T | undefined {
  for (let step = 0; step < items.length; step++) {
    const item = items[(start + step) % items.length]!
    if (accepts(item)) return item
  }
  return undefined
}
