/** Load of the routing benchmark: deployments, request kinds and arrivals. */
import type { Random, Repeatability } from '@comfreygrade/core'

/** Deployments, which differ in the network delay between callers and entry nodes. */
export type Deployment = 'ferreyra' | 'kartli'

/** One-way delay between callers and entry nodes. */
export const clientDelayMs: Readonly<Record<Deployment, number>> = { ferreyra: 1, kartli: 3 }

/** Distribution of the requests of one class. The router does not see the service times. */
export interface RequestKind {
  readonly requestClass: string
  /** Share of all requests. */
  readonly share: number
  readonly medianServiceMs: number
  /** Standard deviation of the logarithm of the service time. */
  readonly logSigma: number
  /** Share of requests that take `OUTLIER_FACTOR` times as long, which cannot be predicted from the request. */
  readonly outlierShare: number
  readonly deadlineMs: number
  /** Share of requests that must not run twice; half of them carry an idempotency key. */
  readonly nonRepeatableShare: number
}

const OUTLIER_FACTOR = 30

/** Charges and bookings, top-ups, and reconciliations, which are rare and take many times longer. */
export const requestKinds: readonly RequestKind[] = [
  {
    requestClass: 'charge',
    share: 0.72,
    medianServiceMs: 8,
    logSigma: 0.5,
    outlierShare: 0.002,
    deadlineMs: 1_000,
    nonRepeatableShare: 0.4
  },
  {
    requestClass: 'top-up',
    share: 0.26,
    medianServiceMs: 35,
    logSigma: 0.7,
    outlierShare: 0.002,
    deadlineMs: 2_000,
    nonRepeatableShare: 0.2
  },
  {
    requestClass: 'reconcile',
    share: 0.02,
    medianServiceMs: 900,
    logSigma: 0.9,
    outlierShare: 0,
    deadlineMs: 20_000,
    nonRepeatableShare: 0
  }
]

/** Share of the load by organisation; two submit 80 %. */
export const organisationShares: ReadonlyMap<string, number> = new Map([['o1', 0.45], ['o2', 0.35], ['o3', 0.12], ['o4', 0.08]])

/** Share of the load by region. */
export const regionShares: readonly number[] = [0.45, 0.3, 0.25]

/**
 * The arrival rate rises tenfold within 2 s, stays there, and falls back within 2 s. All arrivals, heartbeats and
 * gossip end at `arrivalsEndMs`.
 */
export const loadSpike = {
  startMs: 4_000, riseMs: 2_000, holdMs: 1_500, fallMs: 2_000, factor: 10, arrivalsEndMs: 20_000
} as const

/** Burst of long requests of one organisation after the load spike, as at the end of a university term. */
export const longRequestBurst = { atMs: 14_000, durationMs: 500, requests: 400, organisationId: 'o1' } as const

export const loadSpikeEndMs = loadSpike.startMs + loadSpike.riseMs + loadSpike.holdMs + loadSpike.fallMs

/** Arrival of one request at an entry node. */
export interface PlannedArrival {
  readonly kind: RequestKind
  readonly organisationId: string
  readonly serviceMs: number
  readonly repeatability: Repeatability
  readonly hasIdempotencyKey: boolean
}

/** Mean service time over all request kinds, from which the arrival rate for a given utilisation follows. */
export function meanServiceMs (): number {
  return requestKinds.reduce((sum, kind) => sum + kind.share * meanServiceMsOf(kind), 0)
}

/**
 * Arrival rate at a time, relative to the normal rate.
 *
 * @example
 * loadFactor(loadSpike.startMs + loadSpike.riseMs) // 10
 */
export function loadFactor (atMs: number): number {
  const { startMs, riseMs, holdMs, fallMs, factor } = loadSpike
  const rise = Math.min(1, Math.max(0, (atMs - startMs) / riseMs))
  const fall = Math.min(1, Math.max(0, (atMs - startMs - riseMs - holdMs) / fallMs))
  return 1 + (factor - 1) * (rise - fall)
}

/** Draws a request of any kind. */
export function drawArrival (random: Random): PlannedArrival {
  const kind = drawWeighted(random, requestKinds.map(each => [each, each.share]))
  const organisationId = drawWeighted(random, [...organisationShares])
  const isNonRepeatable = random.nextFloat() < kind.nonRepeatableShare
  const isOutlier = random.nextFloat() < kind.outlierShare
  const serviceMs =
    kind.medianServiceMs * Math.exp(kind.logSigma * drawNormal(random)) * (isOutlier ? OUTLIER_FACTOR : 1)
  const repeatability = isNonRepeatable ? 'non-repeatable' : 'idempotent'
  return {
    kind, organisationId, serviceMs, repeatability, hasIdempotencyKey: isNonRepeatable && random.nextFloat() < 0.5
  }
}

/** Draws a request of the burst of long requests. */
export function drawLongRequest (random: Random): PlannedArrival {
  const kind = requestKinds.at(-1)!
  const serviceMs = kind.medianServiceMs * Math.exp(kind.logSigma * drawNormal(random))
  return { kind, organisationId: longRequestBurst.organisationId, serviceMs, repeatability: 'idempotent', hasIdempotencyKey: false }
}

/** Draws the time until the next arrival of a Poisson process. */
export function drawInterarrivalMs (random: Random, perSecond: number): number {
  return -Math.log(1 - random.nextFloat()) * 1000 / perSecond
}

/** Draws one of the choices with a probability in proportion to its weight. */
export function drawWeighted<T> (random: Random, choices: ReadonlyArray<readonly [T, number]>): T {
  let rest = random.nextFloat() * choices.reduce((sum, [, weight]) => sum + weight, 0)
  for (const [choice, weight] of choices) {
    rest -= weight
    if (rest < 0) return choice
  }
  return choices.at(-1)![0]
}

function meanServiceMsOf (kind: RequestKind): number {
  const outliers = 1 + kind.outlierShare * (OUTLIER_FACTOR - 1)
  return kind.medianServiceMs * Math.exp(kind.logSigma ** 2 / 2) * outliers
}

/** Box-Muller transform. */
function drawNormal (random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.nextFloat()))
  return radius * Math.cos(2 * Math.PI * random.nextFloat())
}
