import {FailureDomain, TargetId} from '@radishgw/core';
import {EngineStage, TargetEntry} from '../model.js';

/** Settings of the stage policy. */
export interface StageSettings {
  /**
   * Share of a failure domain's engines that decode, if they have `referenceSlots`. Prefill takes
   * most of an engine's capacity and decoding little, so that few decode engines serve many prefill
   * engines. Engines with fewer slots are full of streams before they are busy, so that more decode.
   */
  readonly decodeShare: number;
  readonly referenceSlots: number;
  readonly maxDecodeShare: number;
  /** Minimum time between two orders to an engine: an order may be carried out late. */
  readonly resendMs: number;
}

export const DEFAULT_STAGE_SETTINGS: StageSettings = {
  decodeShare: 0.25,
  referenceSlots: 64,
  maxDecodeShare: 0.5,
  resendMs: 15_000,
};

/** Share of the engines that decode, by the slots of an engine. */
export function decodeShareFor(slots: number, settings: StageSettings): number {
  const {decodeShare, referenceSlots, maxDecodeShare} = settings;
  if (slots >= referenceSlots) return decodeShare;
  return Math.min(maxDecodeShare, decodeShare * Math.cbrt(referenceSlots / slots));
}

/** An order to change an engine's stage. */
export interface StageOrder {
  readonly target: TargetId;
  readonly stage: EngineStage;
}

/** Time of the latest order to each engine. */
export type StageState = Map<TargetId, number>;

/**
 * Decides which engines to switch to another stage. On-demand engines are preferred for decoding
 * because preemptible ones may be withdrawn. A domain's only engine decodes, since a decode engine
 * can also prefill.
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
    const slots = Math.min(...engines.map(engine => engine.slots));
    const decodeShare = decodeShareFor(slots, settings);
    const decodeCount = Math.max(1, Math.round(engines.length * decodeShare));
    engines.sort(compareForDecode).forEach((entry, index) => {
      const stage: EngineStage = index < decodeCount ? 'decode' : 'prefill';
      const lastOrderMs = state.get(entry.id) ?? -Infinity;
      if (entry.stage === stage || nowMs - lastOrderMs < settings.resendMs) return;
      orders.push({target: entry.id, stage});
    });
  }
  return orders;
}

/** On-demand before preemptible, then current decode engines, which need no order. */
function compareForDecode(a: TargetEntry, b: TargetEntry): number {
  return (
    Number(a.isCheap) - Number(b.isCheap) ||
    Number(a.stage === 'prefill') - Number(b.stage === 'prefill') ||
    (a.id < b.id ? -1 : 1)
  );
}
