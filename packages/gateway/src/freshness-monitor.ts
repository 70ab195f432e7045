import {FreshnessVerdict} from '@radishgw/config';
import {EventLog, Procedure, sleep} from '@radishgw/core';

const CHECK_INTERVAL_MS = 500;

/** Logs when the host stops and resumes serving requests with a key. */
export class FreshnessMonitor {
  /** Undefined until the host was fresh once, so that a host that is starting logs no event. */
  private isStale: boolean | undefined;

  constructor(
    private readonly log: EventLog,
    private readonly evaluateFreshness: () => FreshnessVerdict,
  ) {}

  /** Evaluates freshness and logs a change since the previous evaluation. */
  evaluate(): FreshnessVerdict {
    const verdict = this.evaluateFreshness();
    const isStale = verdict.kind === 'stale';
    if (this.isStale === undefined && isStale) return verdict;
    if (isStale && !this.isStale) this.log.write('configStale', {reason: verdict.reason});
    if (!isStale && this.isStale) this.log.write('configFresh');
    this.isStale = isStale;
    return verdict;
  }

  /** Evaluates freshness at intervals, so that changes are logged on hosts without requests. */
  *run(): Procedure<never> {
    for (;;) {
      this.evaluate();
      yield* sleep(CHECK_INTERVAL_MS);
    }
  }
}
