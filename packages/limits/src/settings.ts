/** Rate and burst of one team. */
export interface TeamLimit {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
  /** Configuration revision that set these values. */
  readonly revision: number;
}

/** Settings of the shared limits; the same on all hosts. */
export interface LimitSettings {
  /** Number of shards into which teams hash. */
  readonly shardCount: number;
  /** Placement hosts for each shard. */
  readonly placementSize: number;
  /** Share of the tokens present that is kept in reserves of the placement hosts. */
  readonly reserveBurstFraction: number;
  /** Share of the rate at which reserves refill on their own while the owner is silent. */
  readonly reserveRateFraction: number;
  /** Share of the burst that may be outstanding in grants with the full time to live. */
  readonly outstandingFraction: number;
  readonly grantTtlMs: number;
  /**
   * Time to live of grants above that share. Below the margin of a takeover, so that a new owner
   * finds them ended and a single request may still use the whole burst.
   */
  readonly largeGrantTtlMs: number;
  /** Demand that a grant covers, in milliseconds of recent demand. */
  readonly grantHorizonMs: number;
  /** How long a reserve stays usable without confirmation. */
  readonly reserveValidMs: number;
  /** How long after an owner's response a reserve doesn't refill on its own. */
  readonly refillPauseMs: number;
  /** How long the owner may hold a confirmation open. */
  readonly confirmHoldMs: number;
  /** A call to the owner without response fails after this time. */
  readonly callTimeoutMs: number;
  /** Pause between calls to an owner that doesn't answer. */
  readonly retryPauseMs: number;
  /** Longest wait of a request before it is refused. */
  readonly maxWaitMs: number;
  /** Bound on the relative difference between the rates of two monotonic clocks. */
  readonly clockDriftFraction: number;
}

/** Defaults; `docs/decisions/0001-limits.md` gives the measurements behind them. */
export const DEFAULT_LIMIT_SETTINGS: LimitSettings = {
  shardCount: 64,
  placementSize: 3,
  reserveBurstFraction: 0.75,
  reserveRateFraction: 0.6,
  outstandingFraction: 0.5,
  grantTtlMs: 2000,
  largeGrantTtlMs: 900,
  grantHorizonMs: 1000,
  reserveValidMs: 1_800_000,
  refillPauseMs: 1500,
  confirmHoldMs: 1000,
  callTimeoutMs: 100,
  retryPauseMs: 250,
  maxWaitMs: 1000,
  clockDriftFraction: 0.001,
};

/** Largest reserve of one placement host, in tokens. */
export function reserveCapTokens(limit: TeamLimit, settings: LimitSettings): number {
  return (limit.burstTokens * settings.reserveBurstFraction) / settings.placementSize;
}

/** Rate at which one reserve refills on its own, in tokens per second. */
export function reserveTokensPerSecond(limit: TeamLimit, settings: LimitSettings): number {
  return (limit.tokensPerSecond * settings.reserveRateFraction) / settings.placementSize;
}
