import {Instant, maxElapsedMs} from './elapsed-clock.js';
import {RelayConfig} from './model.js';

/** The configuration in force on this host and the last moment at which it was known to be newest. */
export interface ConfigView {
  config: RelayConfig | undefined;
  /** Before the read that confirmed the configuration was sent. */
  confirmedAt: Instant | undefined;
}

export function createConfigView(): ConfigView {
  return {config: undefined, confirmedAt: undefined};
}

/**
 * Takes in a linearizable read that was sent at `sentAt`. Versions never go back, and neither does
 * the confirmation: what another host has read may be older than this host's own read.
 */
export function confirmConfig(view: ConfigView, config: RelayConfig, sentAt: Instant): boolean {
  const current = view.config?.version ?? -Infinity;
  if (config.version < current) return false;
  const isLater = !view.confirmedAt || sentAt.monotonicMs > view.confirmedAt.monotonicMs;
  if (isLater || config.version > current) view.confirmedAt = sentAt;
  if (config.version === current) return false;
  view.config = config;
  return true;
}

/** Age of the confirmation; infinite without one. */
export function configAgeMs(view: ConfigView, now: Instant): number {
  return view.confirmedAt ? maxElapsedMs(view.confirmedAt, now) : Infinity;
}

/**
 * Whether requests with a key may be served: a key that was withdrawn before the confirmation is
 * gone from the configuration, and one withdrawn since may be used for `revokeMs`.
 */
export function isConfigFresh(view: ConfigView, now: Instant, revokeMs: number): boolean {
  return view.config !== undefined && configAgeMs(view, now) < revokeMs;
}
