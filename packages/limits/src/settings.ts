/** Rate and burst of one team. */
export interface TeamLimit {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
  /** Configuration revision that set these values. */
  readonly revision: number;
}

/** Settings of the shared rate limits. They must be the same on all hosts. */
export interface LimitSettings {
  /** Number of shards into which teams hash. */
  readonly shardCount: number;
  /** Number of placement hosts per shard. */
  readonly placementSize: number;
  /** Share of a team's available tokens that is kept in reserves of the placement hosts. */
  readonly reserveBurstFraction: number;
  /** Share of a team's rate at which its reserves refill locally while the owner doesn't answer. */
  readonly reserveRateFraction: number;
  /** Share of the burst that may be outstanding in grants with the full time to live. */
  readonly outstandingFraction: number;
  readonly grantTtlMs: number;
  /**
   * Time to live of grants that exceed `outstandingFraction`. It is below the takeover margin, so
   * that these grants have expired before a new owner takes over. This lets a single request use
   * the whole burst.
   */
  readonly largeGrantTtlMs: number;
  /** Time for which a grant should cover the demand, at the recent rate of demand. */
  readonly grantHorizonMs: number;
  /** Time for which a reserve stays valid without confirmation. */
  readonly reserveValidMs: number;
  /** Time after an owner's response in which a reserve doesn't refill locally. */
  readonly refillPauseMs: number;
  /** Maximum time for which the owner holds a confirmation open. */
  readonly confirmHoldMs: number;
  /** Timeout of a call to the owner. */
  readonly callTimeoutMs: number;
  /** Pause between calls to an owner that doesn't respond. */
  readonly retryPauseMs: number;
  /** Maximum wait of a request before it is refused. */
  readonly maxWaitMs: number;
  /** Bound on the relative difference between the rates of two monotonic clocks. */
  readonly clockDriftFraction: number;
}

/** Default settings. See `docs/decisions/0001-limits.md` for the measurements behind them. */
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

/** Maximum reserve of one placement host, in tokens. */
export function reserveCapTokens(limit: TeamLimit, settings: LimitSettings): number {
  return (limit.burstTokens * settings.reserveBurstFraction) / settings.placementSize;
}

/** Rate at which one reserve refills locally, in tokens per second. */
export function reserveTokensPerSecond(limit: TeamLimit, settings: LimitSettings): number {
  return (limit.tokensPerSecond * settings.reserveRateFraction) / settings.placementSize;
}
