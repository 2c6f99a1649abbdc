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

  #chooseByTier (selection: Selection, random: Random, accepts: Accepts): ServerState | undefined {
    for (const tier of selection.tiers) {
      const chosen = this.#chooseInTier(tier, selection, random, accepts)
      if (chosen !== undefined) return chosen
    }
    return undefined
  }

  /** Walks from a random position, so that each comparison is between random servers even when many are full. */
  #chooseInTier (tier: readonly ServerState[], selection: Selection, random: Random, accepts: Accepts) {
    let best: ServerState | undefined
    let compared = 0
    const remaining = [...tier]
    while (remaining.length > 0 && compared < this.#randomChoices) {
      const server = takeRandom(remaining, random)
      if (!accepts(server, selection)) continue
      compared++
      if (best === undefined || server.load(selection.nowMs) < best.load(selection.nowMs)) best = server
    }
    return best
  }
}

/** Baseline: every serving server in turn, without limits, distance or health. */
export class RoundRobinPolicy extends RoutingPolicy {
  #next = 0

  override choose (selection: Selection): ServerState | undefined {
    const servers = selection.tiers.flat().filter(server => server.isServing(selection.nowMs))
    return servers[this.#next++ % servers.length]
  }
}

type Accepts = (server: ServerState, selection: Selection) => boolean

function isUsable (server: ServerState, selection: Selection): boolean {
  const { workClass, entryVms, nowMs } = selection
  const state = server.ejection.state(nowMs)
  if (state === 'ejected' || state === 'probing') return false
  return server.isServing(nowMs) && server.hasRoom(workClass, entryVms, nowMs)
}

function isPreferred (server: ServerState, selection: Selection): boolean {
  if (selection.avoid.has(server.id)) return false
  if (!selection.isProbeWelcome && server.ejection.state(selection.nowMs) === 'probe_due') return false
  return isUsable(server, selection)
}

/** Removes a random element in constant time; the order of the rest does not matter. */
function takeRandom (servers: ServerState[], random: Random): ServerState {
  const index = random.nextInt(0, servers.length - 1)
  const taken = servers[index]!
  const last = servers.pop()!
  if (last !== taken) servers[index] = last
  return taken
}
