/**
 * Workers of similar speed, in the order in which a gang is placed on them.
 *
 * Load pattern: gangs of a dozen members in a fleet of which a quarter has half of the speed. A gang ends with its
 * slowest member, so one slow worker holds all other members' workers for twice as long.
 */
import type { WorkerCapacity } from './worker-capacity.js'

/** Number of tiers that `speedTiers` returns. */
export const SPEED_TIERS = 3
/** Workers from this slowdown on are slow. Smaller differences cost a gang less than a wait for workers of one kind. */
export const SLOW_FROM = 1.35

/**
 * Divides workers by speed: first those that are not slow, then the slow ones, and last all. The first two are empty
 * where the workers are of one kind.
 *
 * @example
 * const [fastEnough, slow, all] = speedTiers(workers)
 */
export function speedTiers (workers: readonly WorkerCapacity[]): ReadonlyArray<readonly WorkerCapacity[]> {
  const slow = workers.filter(({ slowdown }) => slowdown >= SLOW_FROM)
  if (slow.length === 0 || slow.length === workers.length) return [[], [], workers]
  return [workers.filter(({ slowdown }) => slowdown < SLOW_FROM), slow, workers]
}
