import {Health, createHealth, getHealthState} from '@radishgw/scheduling';
import {PromptPart, PromptPartId, TargetEntry, TargetLoad} from '../model.js';

/**
 * Age at which a reported load has half its weight; after twice that it has none. The weight decays
 * because the requests of other hosts finish as well.
 */
const LOAD_HALF_WEIGHT_MS = 400;

/**
 * Time for which a prompt part is assumed to be cached at a target after this host sent it there.
 */
const CACHE_TTL_MS = 20_000;

/** Maximum number of prompt parts tracked per target. */
const MAX_CACHED_PARTS = 2000;

/** Maximum number of prompt parts tracked over all targets; each takes about a hundred bytes. */
const MAX_TOTAL_PARTS = 100_000;

/** Why a request may not be sent to a target now. */
export type AccessRefusal = 'cold' | 'evacuated' | 'outsideHome';

/** Decides whether requests may be sent to a target; see `TargetAccess`. */
export interface TargetGate {
  /** Why no request may be sent now; undefined if one may. */
  findRefusal(nowMs: number): AccessRefusal | undefined;
  /** Whether the target is cold and its requests are limited. */
  isCold(nowMs: number): boolean;
  recordSent(nowMs: number): void;
  /** Time at which a cold target may take a request again; undefined if it isn't refused as cold. */
  returnMs(nowMs: number): number | undefined;
}

/** State that this host keeps for one incarnation of a target. */
export interface TargetState {
  entry: TargetEntry;
  readonly health: Health;
  /** Requests of this host that are in progress at the target. */
  ownRequests: number;
  /** Prompt tokens that this host has sent and that the target hasn't finished prefilling. */
  ownPromptTokens: number;
  /** Requests of other hosts, according to the latest answer. */
  othersRequests: number;
  othersWaiting: number;
  loadAtMs: number;
  /** Latest reported slowdown; 1 is as usual. */
  slowdown: number;
  /** Time of that report; -Infinity if the target has reported none. */
  slowdownAtMs: number;
  /** Number of reported slowdowns that could not be used. */
  invalidSlowdownCount: number;
  /** Time at which this host last sent each prompt part to the target, oldest first. */
  readonly partsMs: Map<PromptPartId, number>;
  /** Time at which this host first saw this incarnation. */
  readonly knownSinceMs: number;
  /** Time until which the target has asked for no calls of this host; -Infinity if it hasn't. */
  backoffUntilMs: number;
  /** Time until which the target is cold, that is slow after its start; -Infinity if it is warm. */
  coldUntilMs: number;
  /** Set by the pool; without it all requests may be sent. */
  gate?: TargetGate;
}

export function createTargetState(entry: TargetEntry, nowMs: number): TargetState {
  return {
    entry,
    health: createHealth(),
    ownRequests: 0,
    ownPromptTokens: 0,
    othersRequests: 0,
    othersWaiting: 0,
    loadAtMs: -Infinity,
    slowdown: 1,
    slowdownAtMs: -Infinity,
    invalidSlowdownCount: 0,
    partsMs: new Map(),
    knownSinceMs: nowMs,
    backoffUntilMs: -Infinity,
    coldUntilMs: -Infinity,
  };
}

/** Records the load reported with an answer. It may still include the answered request. */
export function recordLoad(state: TargetState, load: TargetLoad, nowMs: number): void {
  const others = load.running + load.waiting - state.ownRequests;
  state.othersRequests = Math.max(0, others);
  state.othersWaiting = Math.max(0, load.waiting - state.ownRequests);
  state.loadAtMs = nowMs;
  recordSlowdown(state, load, nowMs);
}

/** Records how long work takes, if the target reports it. */
export function recordSlowdown(
  state: TargetState,
  {slowdown, hasInvalidSlowdown}: TargetLoad,
  nowMs: number,
): void {
  if (hasInvalidSlowdown) state.invalidSlowdownCount++;
  if (slowdown === undefined) return;
  state.slowdown = slowdown;
  state.slowdownAtMs = nowMs;
}

/** Whether the target has reported how long work takes there. */
export function reportsSlowdown(target: TargetState): boolean {
  return target.slowdownAtMs > -Infinity;
}

/** Weight of the latest reported load; decays linearly from 1 to 0 with its age. */
export function loadWeight(state: TargetState, nowMs: number): number {
  return Math.max(0, 1 - (nowMs - state.loadAtMs) / (2 * LOAD_HALF_WEIGHT_MS));
}

/** Time for which a reported slowdown applies in full; it changes many times a second. */
const SLOWDOWN_FRESH_MS = 300;

/** Time in which the effect of a slowdown fades after that. */
const SLOWDOWN_FADE_MS = 600;

/** Factor by which work at the target takes longer than usual, according to its latest report. */
export function currentSlowdown(state: TargetState, nowMs: number): number {
  const excessMs = nowMs - state.slowdownAtMs - SLOWDOWN_FRESH_MS;
  const weight = Math.min(1, Math.max(0, 1 - excessMs / SLOWDOWN_FADE_MS));
  return 1 + weight * (state.slowdown - 1);
}

/** Estimated number of requests in progress at the target, over all hosts. */
export function estimateRequests(state: TargetState, nowMs: number): number {
  return state.ownRequests + state.othersRequests * loadWeight(state, nowMs);
}

/** Number of prompt parts that are tracked for each of so many targets. */
export function partsPerTarget(targetCount: number): number {
  return Math.min(MAX_CACHED_PARTS, Math.ceil(MAX_TOTAL_PARTS / targetCount));
}

/** Records the parts of a prompt that was sent to the target; forgets the oldest over `maxParts`. */
export function recordParts(
  state: TargetState,
  parts: readonly PromptPart[],
  nowMs: number,
  maxParts = MAX_CACHED_PARTS,
): void {
  for (const part of parts) {
    state.partsMs.delete(part.id);
    state.partsMs.set(part.id, nowMs);
  }
  for (const id of state.partsMs.keys()) {
    if (state.partsMs.size <= maxParts) break;
    state.partsMs.delete(id);
  }
}

/** Estimated number of tokens at the start of a prompt that are in the target's cache. */
export function estimateCachedTokens(
  state: TargetState,
  parts: readonly PromptPart[],
  nowMs: number,
): number {
  let tokens = 0;
  for (const part of parts) {
    const sentMs = state.partsMs.get(part.id);
    if (sentMs === undefined || nowMs - sentMs > CACHE_TTL_MS) break;
    tokens += part.tokens;
  }
  return tokens;
}

/**
 * Whether no request may reach the target for a reason other than its own state, also to fetch the
 * cache of a prompt.
 */
export function isClosed(state: TargetState, nowMs: number): boolean {
  const refusal = state.gate?.findRefusal(nowMs);
  return refusal !== undefined && refusal !== 'cold';
}

/** Whether the target accepts new requests, as far as this host knows. */
export function isAvailable(state: TargetState, nowMs: number): boolean {
  if (state.entry.isDraining || nowMs < state.backoffUntilMs) return false;
  if (state.gate?.findRefusal(nowMs)) return false;
  const health = getHealthState(state.health, nowMs);
  return health === 'healthy' || health === 'probeDue';
}
