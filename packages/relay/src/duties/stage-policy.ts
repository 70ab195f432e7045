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
  /**
   * Where services are planned by work, the number of decode engines of a failure domain may be this
   * much smaller or larger than its share before an engine is switched: each switch costs an order
   * and seconds of the engine.
   */
  readonly decodeTolerance: number;
  /** Minimum time between two switches of an engine of such a service. */
  readonly minStageMs: number;
  /** On-demand engines that stay in a failure domain which has preemptible ones. */
  readonly onDemandPerDomain: number;
}

export const DEFAULT_STAGE_SETTINGS: StageSettings = {
  decodeShare: 0.25,
  referenceSlots: 64,
  maxDecodeShare: 0.5,
  resendMs: 15_000,
  decodeTolerance: 0.25,
  minStageMs: 30_000,
  onDemandPerDomain: 1,
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
  const orders: StageOrder[] = [];
  for (const engines of groupByDomain(entries)) {
    const decodeCount = countDecode(engines, engines.length, settings);
    engines.sort(compareForDecode).forEach((entry, index) => {
      const stage: EngineStage = index < decodeCount ? 'decode' : 'prefill';
      const lastOrderMs = state.get(entry.id) ?? -Infinity;
      if (entry.stage === stage || nowMs - lastOrderMs < settings.resendMs) return;
      orders.push({target: entry.id, stage});
    });
  }
  return orders;
}

function groupByDomain(entries: readonly TargetEntry[]): Iterable<TargetEntry[]> {
  const byDomain = new Map<FailureDomain, TargetEntry[]>();
  for (const entry of entries) {
    if (entry.isDraining || entry.stage === undefined) continue;
    const domain = byDomain.get(entry.failureDomain);
    if (domain) domain.push(entry);
    else byDomain.set(entry.failureDomain, [entry]);
  }
  return byDomain.values();
}

/** Number of decode engines for `count` engines that are like the given ones. */
function countDecode(
  engines: readonly TargetEntry[],
  count: number,
  settings: StageSettings,
): number {
  const slots = Math.min(...engines.map(engine => engine.slots));
  return Math.max(1, Math.round(count * decodeShareFor(slots, settings)));
}

/** The latest order to each engine. */
export type SentStageOrders = ReadonlyMap<
  TargetId,
  {readonly stage: EngineStage; readonly atMs: number}
>;

/**
 * Decides which engines to switch in a service that is planned by work. The load it answers: a
 * fleet whose on-demand engines are replaced by preemptible ones that start in either stage. Only as
 * many engines are switched as bring the number of decode engines of a domain into its tolerance.
 */
export function decideStagesByWork(
  sent: SentStageOrders,
  entries: readonly TargetEntry[],
  settings: StageSettings,
  nowMs: number,
): StageOrder[] {
  const orders: StageOrder[] = [];
  for (const engines of groupByDomain(entries)) {
    const order = (stage: EngineStage, count: number) => {
      const candidates = engines.filter(
        ({id}) =>
          findStage(id) !== stage &&
          nowMs - (sent.get(id)?.atMs ?? -Infinity) >= settings.minStageMs,
      );
      for (const {id} of candidates.slice(0, count)) orders.push({target: id, stage});
    };
    const stages = new Map(engines.map(({id, stage}) => [id, stage!]));
    // An order that was sent may not have been carried out yet.
    for (const {id} of engines) {
      const last = sent.get(id);
      if (last && nowMs - last.atMs < settings.resendMs) stages.set(id, last.stage);
    }
    const findStage = (id: TargetId) => stages.get(id);
    const isDecode = ({id}: TargetEntry) => findStage(id) === 'decode';
    const onDemand = engines.filter(entry => !entry.isCheap);
    const preemptible = engines.filter(entry => entry.isCheap);
    // The other on-demand engines are about to be replaced.
    const kept =
      preemptible.length > 0
        ? Math.min(onDemand.length, settings.onDemandPerDomain)
        : onDemand.length;
    const keptShare = onDemand.length > 0 ? kept / onDemand.length : 0;
    const decodeCount = engines.filter(isDecode).length;
    const keptDecodeCount =
      preemptible.filter(isDecode).length +
      Math.round(onDemand.filter(isDecode).length * keptShare);
    const keptCount = preemptible.length + kept;
    const minCount = Math.max(
      1,
      Math.ceil(countDecode(engines, engines.length, settings) * (1 - settings.decodeTolerance)),
    );
    const maxCount = Math.max(
      1,
      Math.min(
        keptCount - 1,
        Math.ceil(countDecode(engines, keptCount, settings) * (1 + settings.decodeTolerance)),
      ),
    );
    const isReplacing = kept < onDemand.length;
    engines.sort(
      (a, b) =>
        // Engines that stay, then on-demand ones, as streams at them aren't withdrawn.
        (Number(a.isCheap) - Number(b.isCheap)) * (isReplacing ? -1 : 1) || (a.id < b.id ? -1 : 1),
    );
    if (decodeCount < minCount) {
      order('decode', minCount - decodeCount);
    } else if (keptDecodeCount > maxCount) {
      engines.sort((a, b) => Number(b.isCheap) - Number(a.isCheap) || (a.id < b.id ? -1 : 1));
      order('prefill', Math.min(keptDecodeCount - maxCount, decodeCount - minCount));
    }
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
