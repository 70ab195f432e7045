import {FailureDomain, TargetId} from '@radishgw/core';
import {EngineStage, TargetEntry} from './model.js';

/** Settings of the stage policy. */
export interface StageSettings {
  /**
   * Part of a failure domain's engines that decode. Making tokens takes little of an engine and
   * reading prompts most of it, so few engines decode for many that read.
   */
  readonly decodeShare: number;
  /** An engine is ordered again only after this time: an order may be carried out late. */
  readonly repeatMs: number;
}

export const DEFAULT_STAGE_SETTINGS: StageSettings = {decodeShare: 0.25, repeatMs: 15_000};

/** An order that changes an engine's stage. */
export interface StageOrder {
  readonly target: TargetId;
  readonly stage: EngineStage;
}

/** When engines were ordered last. */
export type StageState = Map<TargetId, number>;

/**
 * Decides which engines change their stage. Ordinary engines decode before cheap ones, which may be
 * withdrawn; a domain with one engine leaves it to decode, which can also read.
 */
export function decideStages(
  state: StageState,
  entries: readonly TargetEntry[],
  settings: StageSettings,
  nowMs: number,
): StageOrder[] {
  const byDomain = new Map<FailureDomain, TargetEntry[]>();
  for (const entry of entries) {
    if (entry.isDraining || entry.stage === undefined) continue;
    const domain = byDomain.get(entry.failureDomain);
    if (domain) domain.push(entry);
    else byDomain.set(entry.failureDomain, [entry]);
  }
  const orders: StageOrder[] = [];
  for (const engines of byDomain.values()) {
    const wanted = Math.max(1, Math.round(engines.length * settings.decodeShare));
    engines.sort(compareForDecode).forEach((entry, index) => {
      const stage: EngineStage = index < wanted ? 'decode' : 'prefill';
      const orderedMs = state.get(entry.id) ?? -Infinity;
      if (entry.stage === stage || nowMs - orderedMs < settings.repeatMs) return;
      orders.push({target: entry.id, stage});
    });
  }
  return orders;
}

/** Ordinary before cheap, then those that decode already, so that few orders are needed. */
function compareForDecode(a: TargetEntry, b: TargetEntry): number {
  return (
    Number(a.isCheap) - Number(b.isCheap) ||
    Number(a.stage === 'prefill') - Number(b.stage === 'prefill') ||
    (a.id < b.id ? -1 : 1)
  );
}
