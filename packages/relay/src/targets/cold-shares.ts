import {Instant, maxElapsedMs} from '../instant.js';
import {rankByKey} from '../rendezvous.js';

/** What is allowed beyond the rate at which a service's cold targets take requests. */
export interface ColdBounds {
  /** Multiple of the rate that is allowed within one second. */
  readonly overageFactor: number;
  /** Requests allowed within one second regardless of the rate. */
  readonly slackRequests: number;
}

/**
 * Share of what is allowed that the hosts give out. The rest covers calls that aren't limited
 * (orders, releases of caches) and requests that a network held back and delivers together.
 */
const USED_SHARE = 0.5;

/**
 * Time in which a host sends at most its share of a cold target's requests. The bound holds for any
 * second of arrivals; a request may arrive up to a connection's timeout after it was sent.
 */
export const COLD_INTERVAL_MS = 1500;

/** Maximum age of the list of hosts by which a host sends requests to cold targets. */
const MAX_LIST_AGE_MS = 2500;

/** Time for which a host that isn't listed any more still counts. */
const UNLISTED_MS = 4000;

/**
 * Maximum age of a host's stored record if it sends requests to cold targets. Others count it for
 * longer: they list a host for 3.5 s after its last record, and count it for `UNLISTED_MS` more.
 */
const MAX_RECORD_AGE_MS = 5000;

/**
 * Time from a host's first stored record to its first request to a cold target. By then every other
 * host that sends any counts it: their lists are no older, and the requests that they sent by older
 * lists have arrived.
 */
const SETTLING_MS = MAX_LIST_AGE_MS + COLD_INTERVAL_MS;

/** What a host knows of the hosts that may send requests to cold targets. */
export interface ColdHosts {
  /** This host's own incarnation. */
  readonly ownKey: string;
  /** Time of the latest list with each host, by incarnation. */
  readonly listedMs: Map<string, number>;
  /** Time at which the latest list was current; undefined before the first one. */
  listAsOf: Instant | undefined;
  /** Creation time of the latest record of this host that is known to be stored. */
  storedAt: Instant | undefined;
  /** Time since which this host's record has been stored without a gap. */
  storedSinceMs: number | undefined;
  /** Rises with each change of the hosts that count. */
  version: number;
}

export function createColdHosts(ownKey: string): ColdHosts {
  return {
    ownKey,
    listedMs: new Map(),
    listAsOf: undefined,
    storedAt: undefined,
    storedSinceMs: undefined,
    version: 0,
  };
}

/** Applies a complete list of the incarnations of hosts that was current at `asOf`. */
export function recordColdHosts(state: ColdHosts, keys: Iterable<string>, asOf: Instant): void {
  if (state.listAsOf && asOf.monotonicMs < state.listAsOf.monotonicMs) return;
  state.listAsOf = asOf;
  const {monotonicMs} = asOf;
  for (const key of keys) {
    if (!state.listedMs.has(key)) state.version++;
    state.listedMs.set(key, monotonicMs);
  }
  for (const [key, listedMs] of state.listedMs) {
    if (monotonicMs - listedMs < UNLISTED_MS) continue;
    state.listedMs.delete(key);
    state.version++;
  }
}

/** Records that this host's record of `madeAt` is known at `now` to be stored. */
export function recordColdRecord(state: ColdHosts, madeAt: Instant, now: Instant): void {
  const hasGap = !state.storedAt || maxElapsedMs(state.storedAt, now) > MAX_RECORD_AGE_MS;
  if (hasGap) state.storedSinceMs = now.monotonicMs;
  state.storedAt = madeAt;
}

/**
 * Whether this host may send requests to cold targets: the other hosts that do so count it, and it
 * counts them.
 */
export function hasColdShares(state: ColdHosts, now: Instant): boolean {
  const {listAsOf, storedAt, storedSinceMs} = state;
  if (!listAsOf || !storedAt || storedSinceMs === undefined) return false;
  return (
    maxElapsedMs(listAsOf, now) <= MAX_LIST_AGE_MS &&
    maxElapsedMs(storedAt, now) <= MAX_RECORD_AGE_MS &&
    now.monotonicMs - storedSinceMs >= SETTLING_MS
  );
}

/**
 * Number of requests that this host may send to a cold target within `COLD_INTERVAL_MS`. The load it
 * answers: all hosts send to the same new target at once, and have no time to agree.
 *
 * A few hosts, chosen by rendezvous hashing, may send one each; where there are fewer hosts than
 * that, each sends an equal share. A host that counts more hosts never takes a larger share. As each
 * host that sends is counted by all others that do, the shares add up to no more than what is given
 * out, whichever further hosts some of them count.
 */
export function coldShare(
  {ownKey, listedMs}: ColdHosts,
  targetKey: string,
  requestsPerSecond: number,
  {overageFactor, slackRequests}: ColdBounds,
): number {
  const allowed = requestsPerSecond * overageFactor + slackRequests;
  const used = Math.max(Math.floor(allowed * USED_SHARE), Math.min(1, Math.floor(allowed)));
  const hosts = new Set([...listedMs.keys(), ownKey]);
  if (hosts.size < used) return Math.floor(used / hosts.size);
  const ranked = rankByKey(
    targetKey,
    [...hosts].map(id => ({id, weight: 1})),
  );
  return ranked.indexOf(ownKey) < used ? 1 : 0;
}
