import {FreshnessVerdict} from '@radishgw/config';
import {EventLog, Procedure, sleep} from '@radishgw/core';

const CHECK_MS = 500;

/** Logs when the host stops and starts again to serve requests with a key. */
export class FreshnessWatch {
  /** Undefined until the host was fresh once: a host that has just started isn't an event. */
  private isStale: boolean | undefined;

  constructor(
    private readonly log: EventLog,
    private readonly judgeNow: () => FreshnessVerdict,
  ) {}

  /** Judges, and logs a change since the last judgement. */
  judge(): FreshnessVerdict {
    const verdict = this.judgeNow();
    const isStale = verdict.kind === 'stale';
    if (this.isStale === undefined && isStale) return verdict;
    if (isStale && !this.isStale) this.log.write('configStale', {reason: verdict.reason});
    if (!isStale && this.isStale) this.log.write('configFresh');
    this.isStale = isStale;
    return verdict;
  }

  /** Judges at intervals, for hosts without requests. */
  *run(): Procedure<never> {
    for (;;) {
      this.judge();
      yield* sleep(CHECK_MS);
    }
  }
}
