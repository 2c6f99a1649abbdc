/** Load of the routing benchmark: deployments, kinds of work and arrivals. */
import type { Random, Repeatability } from '@comfreygrade/core'

/** Deployments of the design page. */
export type Deployment = 'ferreyra' | 'kartli'

/** One-way delay between callers and entry VMs. */
export const clientDelayMs: Readonly<Record<Deployment, number>> = { ferreyra: 1, kartli: 3 }

/** A kind of short request with its hidden service time. */
export interface WorkKind {
  readonly requestClass: string
  /** Share of all requests. */
  readonly share: number
  /** Median of the service time. */
  readonly medianMs: number
  /** Standard deviation of the logarithm of the service time. */
  readonly logSpread: number
  /** Share of requests that take `outlierFactor` times as long, which nobody can tell beforehand. */
  readonly outlierShare: number
  readonly deadlineMs: number
  /** Share that must not run twice; half of it carries an idempotency key. */
  readonly nonRepeatableShare: number
}

const OUTLIER_FACTOR = 30

/** Charges and bookings, top-ups, and reconciliations, which are few and many times longer. */
export const workKinds: readonly WorkKind[] = [
  {
    requestClass: 'charge',
    share: 0.72,
    medianMs: 8,
    logSpread: 0.5,
    outlierShare: 0.002,
    deadlineMs: 1_000,
    nonRepeatableShare: 0.4
  },
  {
    requestClass: 'top-up',
    share: 0.26,
    medianMs: 35,
    logSpread: 0.7,
    outlierShare: 0.002,
    deadlineMs: 2_000,
    nonRepeatableShare: 0.2
  },
  {
    requestClass: 'reconcile',
    share: 0.02,
    medianMs: 900,
    logSpread: 0.9,
    outlierShare: 0,
    deadlineMs: 20_000,
    nonRepeatableShare: 0
  }
]

/** Organisations and their share of the load; two submit 80 %. */
export const organisationShares: ReadonlyMap<string, number> = new Map([['o1', 0.45], ['o2', 0.35], ['o3', 0.12], ['o4', 0.08]])

/** Share of the load by region. */
export const regionShares: readonly number[] = [0.45, 0.3, 0.25]

/** The swing: load rises tenfold within 2 s, stays, and falls back within 2 s. */
export const swing = { startMs: 4_000, riseMs: 2_000, holdMs: 1_500, fallMs: 2_000, factor: 10, endMs: 20_000 } as const

/** A batch of long work of one organisation, as at the end of a term, after the swing is over. */
export const longBurst = { atMs: 14_000, durationMs: 500, requests: 400, organisationId: 'o1' } as const

/** Time at which the load is back to normal. */
export const swingOverMs = swing.startMs + swing.riseMs + swing.holdMs + swing.fallMs

/** Arrival of one request at an entry VM. */
export interface PlannedArrival {
  readonly kind: WorkKind
  readonly organisationId: string
  readonly serviceMs: number
  readonly repeatability: Repeatability
  readonly hasKey: boolean
}

/** Mean service time of one request, which sets the load for a given use of slots. */
export function meanServiceMs (): number {
  return workKinds.reduce((sum, kind) => sum + kind.share * kindMeanMs(kind), 0)
}

/**
 * Load relative to normal at a time.
 *
 * @example
 * loadFactor(swing.startMs + swing.riseMs) // 10
 */
export function loadFactor (atMs: number): number {
  const { startMs, riseMs, holdMs, fallMs, factor } = swing
  const rise = Math.min(1, Math.max(0, (atMs - startMs) / riseMs))
  const fall = Math.min(1, Math.max(0, (atMs - startMs - riseMs - holdMs) / fallMs))
  return 1 + (factor - 1) * (rise - fall)
}

/** Draws one request. */
export function drawArrival (random: Random): PlannedArrival {
  const kind = pick(random, workKinds.map(each => [each, each.share]))
  const organisationId = pick(random, [...organisationShares])
  const isNonRepeatable = random.nextFloat() < kind.nonRepeatableShare
  const isOutlier = random.nextFloat() < kind.outlierShare
  const serviceMs = kind.medianMs * Math.exp(kind.logSpread * drawNormal(random)) * (isOutlier ? OUTLIER_FACTOR : 1)
  const repeatability = isNonRepeatable ? 'non-repeatable' : 'idempotent'
  return { kind, organisationId, serviceMs, repeatability, hasKey: isNonRepeatable && random.nextFloat() < 0.5 }
}

/** Draws one request of the batch of long work. */
export function drawLongArrival (random: Random): PlannedArrival {
  const kind = workKinds.at(-1)!
  const serviceMs = kind.medianMs * Math.exp(kind.logSpread * drawNormal(random))
  return { kind, organisationId: longBurst.organisationId, serviceMs, repeatability: 'idempotent', hasKey: false }
}

/** Draws the time to the next event of a Poisson process. */
export function drawGapMs (random: Random, perSecond: number): number {
  return -Math.log(1 - random.nextFloat()) * 1000 / perSecond
}

/** Draws one of several choices by weight. */
export function pick<T> (random: Random, choices: ReadonlyArray<readonly [T, number]>): T {
  let rest = random.nextFloat() * choices.reduce((sum, [, weight]) => sum + weight, 0)
  for (const [choice, weight] of choices) {
    rest -= weight
    if (rest < 0) return choice
  }
  return choices.at(-1)![0]
}

function kindMeanMs (kind: WorkKind): number {
  const outliers = 1 + kind.outlierShare * (OUTLIER_FACTOR - 1)
  return kind.medianMs * Math.exp(kind.logSpread ** 2 / 2) * outliers
}

/** Box-Muller transform. */
function drawNormal (random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.nextFloat()))
  return radius * Math.cos(2 * Math.PI * random.nextFloat())
}
