import {Instant, maxElapsedMs} from '../instant.js';
import {RelayConfig} from '../model.js';

/** The active configuration and the latest time at which it was known to be the newest one. */
export interface ConfigView {
  config: RelayConfig | undefined;
  /** Time at which the read that brought the configuration was sent. */
  inForceSince: Instant | undefined;
  /** Time before the read that confirmed the configuration was sent. */
  confirmedAt: Instant | undefined;
  /** Era of the store at that read. */
  era: number;
  /**
   * Whether the store came back from a copy with an older version, which the operator will replace:
   * until then no host can confirm its configuration.
   */
  awaitsRewrite: boolean;
}

export function createConfigView(): ConfigView {
  return {
    config: undefined,
    inForceSince: undefined,
    confirmedAt: undefined,
    era: 0,
    awaitsRewrite: false,
  };
}

/**
 * Applies a linearizable read that was sent at `sentAt` in an era of the store; returns whether the
 * version has changed. Neither the version nor the confirmation time ever decreases: a read that
 * another host shared may be older than this host's own. An older version of a copy of the store
 * doesn't confirm a newer one, as an even newer one may have been lost.
 */
export function confirmConfig(
  view: ConfigView,
  config: RelayConfig,
  sentAt: Instant,
  era = 0,
): boolean {
  const current = view.config?.version ?? -Infinity;
  if (config.version < current) {
    if (era > view.era) view.awaitsRewrite = true;
    return false;
  }
  view.era = Math.max(view.era, era);
  view.awaitsRewrite = false;
  const isNewer = !view.confirmedAt || sentAt.monotonicMs > view.confirmedAt.monotonicMs;
  if (isNewer || config.version > current) view.confirmedAt = sentAt;
  if (config.version === current) return false;
  view.config = config;
  view.inForceSince = sentAt;
  return true;
}

/** Time since the latest confirmation; infinite without one. */
export function configAgeMs(view: ConfigView, now: Instant): number {
  return view.confirmedAt ? maxElapsedMs(view.confirmedAt, now) : Infinity;
}

/**
 * Whether requests with an API key may be served. A key that was revoked before the confirmation is
 * absent from the configuration, and one revoked later may still be used for `revokeMs`.
 */
export function isConfigFresh(view: ConfigView, now: Instant, revokeMs: number): boolean {
  return view.config !== undefined && configAgeMs(view, now) < revokeMs;
}
