/** Settings of the request router and their defaults. */

export interface RoutingSettings {
  /**
   * Maximum number of requests that one router holds at once; further requests are refused. An ended request is held
   * while an attempt or a claim decision is pending, so `RequestRouter.openRequests` may be smaller.
   */
  readonly maxOpenRequests: number
  /** Maximum number of queued requests of all services together. */
  readonly maxQueuedRequests: number
  /** Time after the timeout of an attempt in which the front end may still report its result. */
  readonly attemptReportGraceMs: number
  /** Minimum timeout of an attempt of an idempotent request. */
  readonly attemptTimeoutMinMs: number
  /**
   * Timeout of an idempotent request's first attempt as a multiple of the typical service time of its request class.
   */
  readonly attemptTimeoutFactor: number
  /** Upper bound of the first backoff; the bound doubles with each attempt up to `backoffMaxMs`. */
  readonly backoffBaseMs: number
  /** Maximum of that upper bound. */
  readonly backoffMaxMs: number
  /** Retry tokens that an organisation earns with each request. */
  readonly retryBudgetPerRequest: number
  /** Maximum number of retry tokens that an organisation can accumulate. */
  readonly retryBudgetMaxTokens: number
  /** Retry budget of all organisations together as a multiple of the budget of one. */
  readonly retryBudgetTotalFactor: number
  /**
   * Retry tokens earned per second in addition to those earned by requests, so that an organisation with little traffic
   * can retry too.
   */
  readonly retryBudgetMinPerSecond: number
  /** Number of random servers whose load is compared; 1 selects a server at random. */
  readonly randomChoices: number
  /** Factor applied to the concurrency limit on a sign of overload; 1 disables the adaptive limit. */
  readonly limitDecreaseFactor: number
  /** Minimum time between two decreases of the limit, so that a burst of errors counts once. */
  readonly limitDecreaseIntervalMs: number
  /** Increase of the limit after as many successes as the limit allows in flight. */
  readonly limitIncreaseRequests: number
  /**
   * Multiple of the typical service time above which answers, on average, are a sign of overload. A timeout after less
   * than this multiple counts neither as a sign of overload nor towards ejection.
   */
  readonly limitSlowFactor: number
  /** Consecutive failures after which a server is ejected; Infinity disables ejection. */
  readonly ejectAfterFailures: number
  /** Length of the first ejection of a server; it doubles with each recent ejection. */
  readonly ejectionBaseMs: number
  /** Maximum length of an ejection. */
  readonly ejectionMaxMs: number
  /** Time without an ejection after which the next ejection lasts `ejectionBaseMs` again. */
  readonly ejectionMemoryMs: number
  /** Largest share of servers ejected at once, because faulty requests can make every server look faulty. */
  readonly ejectionMaxShare: number
  /** Load that a failure adds to a server, in requests. */
  readonly failureLoadRequests: number
  /** Half-life of the load that failures add. */
  readonly failureLoadHalfLifeMs: number
  /** Slots of each server that long requests may not take; at least one slot is open to them on every server. */
  readonly reservedShortSlots: number
  /** A request class is long if its typical service time exceeds this multiple of that of all requests. */
  readonly longClassFactor: number
  /** Minimum typical service time of a long request class. */
  readonly longClassMinMs: number
  /** Share of the threshold below which a long request class becomes short again; hysteresis prevents alternation. */
  readonly longClassHysteresis: number
  /** Maximum number of request classes with a service time estimate; the least recently observed one is evicted. */
  readonly maxRequestClasses: number
  /** Service time assumed for a request class without observations. */
  readonly unknownServiceTimeMs: number
  /** Service time credited per unit of weight in each round of deficit round robin. */
  readonly quantumMs: number
  /**
   * A waiting request is refused if less than this multiple of its typical service time is left before its deadline.
   * Admission does not use it; it requires one typical service time after the expected wait.
   */
  readonly startMarginFactor: number
  /** Time after which blocked queues are checked again, as counts reported by peers decay without an event. */
  readonly queueRecheckMs: number
  /** Window over which the service rate of a non-empty queue is measured. */
  readonly rateWindowMs: number
  /** Minimum of the retry delay that a refusal advises. */
  readonly minRetryAfterMs: number
  /** Maximum of the retry delay that a refusal advises. */
  readonly maxRetryAfterMs: number
  /**
   * Interval at which the front end sends a load report to its peers. Unchanged counts are due again after half of
   * `peerLoadHalfLifeMs`; a longer interval lets them decay further before they are repeated.
   */
  readonly loadShareIntervalMs: number
  /** Target size of a load report, which the front end passes as `maxBytesHint`. */
  readonly loadShareMaxBytes: number
  /** Share of the limit up to which servers in other regions are used, so that they keep capacity for their region. */
  readonly crossRegionMaxLoad: number
  /**
   * Half-life of the counts of short requests reported by peers. Unchanged counts, of long requests too, are due to be
   * sent again after half of it, so `loadShareIntervalMs` should not be longer than that.
   */
  readonly peerLoadHalfLifeMs: number
  /** Half-life of the counts of long requests reported by peers. */
  readonly peerLongLoadHalfLifeMs: number
  /**
   * Time without a load report after which a peer no longer counts as one that shares the servers; checked when a
   * report of any peer arrives. A peer without requests in flight need not send reports. What is left of the counts of
   * the peer decays further, and is added to its new counts if it returns: with the defaults, about 35 % of a count of
   * long requests, as this time is 1.5 times `peerLongLoadHalfLifeMs`.
   */
  readonly peerForgetAfterMs: number
  /** Maximum number of entries of a load report that are sent or applied. */
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
