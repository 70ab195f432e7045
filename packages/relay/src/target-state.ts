import {Health, createHealth, getHealthState} from '@radishgw/scheduling';
import {PromptPart, PromptPartId, TargetEntry, TargetLoad} from './model.js';

/** How long a reported load counts in full; it then fades, since other hosts' work ends as well. */
const LOAD_FADE_MS = 400;

/** A part that this host has sent to a target counts as cached there for this long. */
const CACHED_FOR_MS = 20_000;

/** Most parts remembered for one target. */
const MAX_CACHED_PARTS = 2000;

/** What this host knows of one incarnation of a target. */
export interface TargetState {
  entry: TargetEntry;
  readonly health: Health;
  /** Requests of this host that the target works on. */
  ownRequests: number;
  /** Prompt tokens that this host has sent and that the target hasn't finished reading. */
  ownPromptTokens: number;
  /** Requests of other hosts as of the last answer. */
  othersRequests: number;
  othersWaiting: number;
  loadAtMs: number;
  /** When this host last sent a part there, oldest first. */
  readonly partsMs: Map<PromptPartId, number>;
  /** When this host first saw this incarnation. */
  readonly knownSinceMs: number;
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
    partsMs: new Map(),
    knownSinceMs: nowMs,
  };
}

/** Takes in the load of an answer. The answered request may still be counted in it. */
export function recordLoad(state: TargetState, load: TargetLoad, nowMs: number): void {
  const others = load.running + load.waiting - state.ownRequests;
  state.othersRequests = Math.max(0, others);
  state.othersWaiting = Math.max(0, load.waiting - state.ownRequests);
  state.loadAtMs = nowMs;
}

/** Weight of the last reported load, from 1 down to 0. */
export function loadWeight(state: TargetState, nowMs: number): number {
  return Math.max(0, 1 - (nowMs - state.loadAtMs) / (2 * LOAD_FADE_MS));
}

/** Requests that the target probably works on. */
export function estimateRequests(state: TargetState, nowMs: number): number {
  return state.ownRequests + state.othersRequests * loadWeight(state, nowMs);
}

/** Remembers the shared parts of a prompt that was sent to the target. */
export function recordParts(state: TargetState, parts: readonly PromptPart[], nowMs: number): void {
  for (const part of parts) {
    state.partsMs.delete(part.id);
    state.partsMs.set(part.id, nowMs);
  }
  for (const id of state.partsMs.keys()) {
    if (state.partsMs.size <= MAX_CACHED_PARTS) break;
    state.partsMs.delete(id);
  }
}

/** Tokens at the start of a prompt that the target probably holds in its cache. */
export function estimateCachedTokens(
  state: TargetState,
  parts: readonly PromptPart[],
  nowMs: number,
): number {
  let tokens = 0;
  for (const part of parts) {
    const sentMs = state.partsMs.get(part.id);
    if (sentMs === undefined || nowMs - sentMs > CACHED_FOR_MS) break;
    tokens += part.tokens;
  }
  return tokens;
}

/** Whether new work may be sent to the target, as far as this host can tell. */
export function canTakeWork(state: TargetState, nowMs: number): boolean {
  if (state.entry.isDraining) return false;
  const health = getHealthState(state.health, nowMs);
  return health === 'healthy' || health === 'probeDue';
}
