/** Numbers of the routing code; each has a default. */

/** Settings of the request router. */
export interface RoutingSettings {
  /** Requests without an answer that one router holds at once. */
  readonly maxOpenRequests: number
  /** Requests that wait for a slot, over all services. */
  readonly maxQueuedRequests: number
  /** Extra time after an attempt's timeout before the router stops waiting for the front end's report. */
  readonly attemptReportGraceMs: number
  /** Shortest time that an attempt of an idempotent request gets. */
  readonly attemptTimeoutMinMs: number
  /** An attempt of an idempotent request gets this many times the learned service time. */
  readonly attemptTimeoutFactor: number
  /** Upper bound of the first backoff; it doubles with each attempt. */
  readonly backoffBaseMs: number
  readonly backoffMaxMs: number
  /** Retries that an organisation earns with each request. */
  readonly retryBudgetPerRequest: number
  /** Retries that an organisation may save up. */
  readonly retryBudgetMaxTokens: number
  /** The total budget is this many times the budget of one organisation. */
  readonly retryBudgetTotalFactor: number
  /** Retries per second that are earned without any requests, so that a quiet organisation can retry too. */
  readonly retryBudgetMinPerSecond: number
  /** Number of random servers that are compared; 1 is a random choice. */
  readonly randomChoices: number
  /** Factor on a learned limit after a sign of overload; 1 switches learning off. */
  readonly limitDecreaseFactor: number
  /** Least time between two decreases, so that one burst of errors counts once. */
  readonly limitDecreaseIntervalMs: number
  /** Rise of the limit for each full round of successes. */
  readonly limitIncreaseRequests: number
  /** Answers slower than this many times the learned service time are a sign of overload. */
  readonly limitSlowFactor: number
  /** Failures in a row that eject a server; Infinity switches ejection off. */
  readonly ejectAfterFailures: number
  readonly ejectionBaseMs: number
  readonly ejectionMaxMs: number
  /** A server without ejection for this long starts again with the shortest gap. */
  readonly ejectionMemoryMs: number
  /** Largest share of servers that is ejected at once, as faulty requests make every server look faulty. */
  readonly ejectionMaxShare: number
  /** Load that one failure adds to a server, in requests. */
  readonly failureLoadRequests: number
  readonly failureLoadHalfLifeMs: number
  /** Slots of each server that long work may not take. */
  readonly reservedShortSlots: number
  /** A class is long when its typical time is this many times that of all requests. */
  readonly longClassFactor: number
  /** A class faster than this is never long. */
  readonly longClassMinMs: number
  /** A long class becomes short again below this share of the limit, so that it does not alternate. */
  readonly longClassHysteresis: number
  /** Classes whose times are remembered; the least recently used is forgotten. */
  readonly maxRequestClasses: number
  /** Service time assumed before anything was observed. */
  readonly unknownServiceTimeMs: number
  /** Service time that weight 1 earns in one round of deficit round robin. */
  readonly quantumMs: number
  /** Waiting work is not started when less than this many times its usual service time is left. */
  readonly startMarginFactor: number
  /** Waiting requests are tried again after this time, as counts of peers decay without an event. */
  readonly queueRecheckMs: number
  /** Window over which the rate of a busy queue is measured. */
  readonly rateWindowMs: number
  readonly minRetryAfterMs: number
  readonly maxRetryAfterMs: number
  /** Interval at which the front end sends `loadReport` to its peers. */
  readonly loadShareIntervalMs: number
  /** Size of one load report that the front end passes as a hint. */
  readonly loadShareMaxBytes: number
  /** Servers in other regions are used up to this share of their limit, so that they keep room for nearer callers. */
  readonly crossRegionMaxLoad: number
  /** A count of short work reported by a peer loses half its weight in this time. */
  readonly peerLoadHalfLifeMs: number
  /** The same for long work. */
  readonly peerLongLoadHalfLifeMs: number
  /** A peer that sent no report for this long no longer counts. */
  readonly peerForgetAfterMs: number
  /** Entries of one load report, sent or taken. */
  readonly maxLoadReportEntries: number
}

/**
 * Defaults for about 30 backend servers behind 7 to 9 entry VMs.
 *
 * @example
 * const settings: RoutingSettings = { ...defaultRoutingSettings, reservedShortSlots: 1 }
 */
export const defaultRoutingSettings: RoutingSettings = {
  maxOpenRequests: 10_000,
  maxQueuedRequests: 4_000,
  attemptReportGraceMs: 50,
  attemptTimeoutMinMs: 250,
  attemptTimeoutFactor: 20,
  backoffBaseMs: 10,
  backoffMaxMs: 1_000,
  retryBudgetPerRequest: 0.1,
  retryBudgetMaxTokens: 100,
  retryBudgetTotalFactor: 3,
  retryBudgetMinPerSecond: 5,
  randomChoices: 2,
  limitDecreaseFactor: 0.7,
  limitDecreaseIntervalMs: 200,
  limitIncreaseRequests: 1,
  limitSlowFactor: 3,
  ejectAfterFailures: 3,
  ejectionBaseMs: 250,
  ejectionMaxMs: 30_000,
  ejectionMemoryMs: 60_000,
  ejectionMaxShare: 0.5,
  failureLoadRequests: 1,
  failureLoadHalfLifeMs: 1_000,
  reservedShortSlots: 3,
  longClassFactor: 5,
  longClassMinMs: 100,
  longClassHysteresis: 0.7,
  maxRequestClasses: 1_000,
  unknownServiceTimeMs: 20,
  quantumMs: 20,
  queueRecheckMs: 50,
  rateWindowMs: 200,
  startMarginFactor: 2,
  minRetryAfterMs: 50,
  maxRetryAfterMs: 30_000,
  loadShareIntervalMs: 250,
  loadShareMaxBytes: 400,
  crossRegionMaxLoad: 0.8,
  peerLoadHalfLifeMs: 500,
  peerLongLoadHalfLifeMs: 2_000,
  peerForgetAfterMs: 3_000,
  maxLoadReportEntries: 512
}
