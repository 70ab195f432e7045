import {createSeededRandom, FailureDomain, RandomSource, TargetId, toId} from '@radishgw/core';
import {
  DEFAULT_ENGINE_ESTIMATES,
  EnginePlacement,
  placePrompt,
  sharedPrefix,
  stageOf,
} from '../src/placing/engine-placement.js';
import {
  placePromptByWork,
  recordPrefilled,
  recordPrefillSent,
  recordStreamWork,
} from '../src/placing/engine-work-placement.js';
import {
  CallPlacementContext,
  placeCallByWork,
  recordCall,
  recordCallSent,
} from '../src/placing/call-work-placement.js';
import {kindsOf} from '../src/placing/cost-model.js';
import {createPendingAverage} from '../src/placing/pending-average.js';
import {placeRequest} from '../src/placing/service-placement.js';
import {createWaitCalibration, recordWait} from '../src/placing/wait-calibration.js';
import {WorkModel} from '../src/placing/work-model.js';
import {
  createTargetState,
  estimateCachedTokens,
  recordLoad,
  recordParts,
  TargetState,
} from '../src/targets/target-state.js';
import {ENGINES, makeEntry, makeParts} from './fixtures.js';

/** Prompts that look alike. */
export interface PromptKind {
  readonly perSecond: number;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly outputTokens: number;
  readonly objectiveMs: number;
  /** Number of prompts that share a prefix. */
  readonly promptsPerPrefix: number;
}

/** A load in virtual time; each host knows only its own responses and what other hosts report. */
export interface EngineLoad {
  readonly seed: number;
  readonly hosts: number;
  readonly engines: number;
  /** Relative speeds that the engines have in turn. */
  readonly speeds: readonly number[];
  readonly durationMs: number;
  readonly kinds: readonly PromptKind[];
  /** Mean times for which an engine is as usual and slower by `factor`. */
  readonly slowdown?: {
    readonly usualMs: number;
    readonly slowMs: number;
    readonly factor: number;
    readonly isReported: boolean;
  };
  /** Time at which half of the hosts are gone. */
  readonly lossAtMs?: number;
  /** Age of the reports of other hosts. */
  readonly reportDelayMs?: number;
}

/** Placement by slots, by expected work, or by one scheduler that knows everything. */
export type Scheduler = 'slots' | 'work' | 'complete';

/** Outcome of a load. */
export interface LoadOutcome {
  /** Share of the prompts whose first event came within the objective. */
  readonly inTimeShare: number;
  readonly inTimeByKind: readonly number[];
  /** Prompts decoded by engine. */
  readonly decodedByEngine: readonly number[];
  /** Work of the busiest engine relative to the mean. */
  readonly busiestShare: number;
  /** Share of the tokens in shared prefixes that weren't cached. */
  readonly coldShare: number;
  readonly meanErrorMs: number;
  /** Share of the time for which the engines that prefill are busy. */
  readonly utilization: number;
}

const PREFILL_TOKENS_PER_MS = 49.6;
const FIXED_MS = 8;
const NETWORK_MS = 2;
const STEP_MS = 15;
const SLOTS = 64;
const DOMAINS = 3;
const REPORT_INTERVAL_MS = 1000;

/** An engine that prefills one prompt after the other, at a speed that changes. */
class SimulatedEngine {
  readonly cached = new Set<string>();
  readyMs = 0;
  busyMs = 0;
  decoded = 0;
  private readonly endsMs: number[] = [];
  /** Times at which it becomes slower and is as usual again, in turn. */
  private readonly switchesMs: number[] = [];

  constructor(
    readonly speed: number,
    private readonly load: Pick<EngineLoad, 'slowdown' | 'durationMs'>,
    random: RandomSource,
    turn?: {readonly index: number; readonly count: number; readonly slowMs: number},
  ) {
    if (!load.slowdown) return;
    if (turn) {
      const {index, count, slowMs} = turn;
      for (let atMs = index * slowMs; atMs < load.durationMs * 2; atMs += count * slowMs) {
        this.switchesMs.push(atMs, atMs + slowMs);
      }
      return;
    }
    const {usualMs, slowMs} = load.slowdown;
    let atMs = 0;
    while (atMs < load.durationMs * 2) {
      atMs += -Math.log(1 - random.next()) * usualMs;
      this.switchesMs.push(atMs);
      atMs += (0.5 + random.next()) * slowMs;
      this.switchesMs.push(atMs);
    }
  }

  slowdownAt(nowMs: number): number {
    const count = this.countSwitches(nowMs);
    return count % 2 === 1 ? this.load.slowdown!.factor : 1;
  }

  /** Time at which work that takes `workMs` at the mean speed is done if it starts at `atMs`. */
  finish(atMs: number, workMs: number): number {
    let leftMs = workMs / this.speed;
    let nowMs = atMs;
    for (let index = this.countSwitches(atMs); ; index++) {
      const factor = index % 2 === 1 ? this.load.slowdown!.factor : 1;
      const untilMs = this.switchesMs[index] ?? Infinity;
      if (nowMs + leftMs * factor <= untilMs) return nowMs + leftMs * factor;
      leftMs -= (untilMs - nowMs) / factor;
      nowMs = untilMs;
    }
  }

  prefill(atMs: number, workMs: number): number {
    const startMs = Math.max(atMs, this.readyMs);
    this.readyMs = this.finish(startMs, workMs);
    this.busyMs += this.readyMs - startMs;
    this.endsMs.push(this.readyMs);
    return this.readyMs;
  }

  addStream(endMs: number): void {
    this.endsMs.push(endMs);
  }

  report(nowMs: number) {
    let running = 0;
    for (const endMs of this.endsMs) if (endMs > nowMs) running++;
    if (this.endsMs.length > 200) {
      const kept = this.endsMs.filter(endMs => endMs > nowMs);
      this.endsMs.splice(0, Infinity, ...kept);
    }
    const slowdown = this.load.slowdown?.isReported === false ? 1 : this.slowdownAt(nowMs);
    return {running, waiting: 0, slots: SLOTS, slowdown};
  }

  private countSwitches(nowMs: number): number {
    let low = 0;
    let high = this.switchesMs.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.switchesMs[middle] <= nowMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

/** Events in the order of their time. */
class EventQueue {
  private readonly heap: {atMs: number; order: number; run: () => void}[] = [];
  private count = 0;
  nowMs = 0;

  add(atMs: number, run: () => void): void {
    const {heap} = this;
    const event = {atMs, order: this.count++, run};
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (compareEvents(heap[parent], event) <= 0) break;
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = event;
  }

  run(): void {
    for (let event = this.take(); event; event = this.take()) {
      this.nowMs = event.atMs;
      event.run();
    }
  }

  private take() {
    const {heap} = this;
    const first = heap[0];
    const last = heap.pop();
    if (!last || heap.length === 0) return last;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && compareEvents(heap[child + 1], heap[child]) < 0) child++;
      if (compareEvents(last, heap[child]) <= 0) break;
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = last;
    return first;
  }
}

function compareEvents(a: {atMs: number; order: number}, b: {atMs: number; order: number}): number {
  return a.atMs - b.atMs || a.order - b.order;
}

/** Plays a load with one scheduler. */
export function playEngineLoad(load: EngineLoad, scheduler: Scheduler): LoadOutcome {
  const random = createSeededRandom(load.seed);
  const choices = createSeededRandom(load.seed + 1000);
  const queue = new EventQueue();
  const entries = Array.from({length: load.engines}, (_, i) =>
    makeEntry(`engine-${i}`, {
      slots: SLOTS,
      // Every fourth engine decodes; the order of speeds has another period.
      stage: i % 4 === 3 ? 'decode' : 'prefill',
      failureDomain: toId<FailureDomain>(`domain-${Math.floor((i * DOMAINS) / load.engines)}`),
    }),
  );
  const engines = new Map(
    entries.map(({id}, i) => [
      id,
      new SimulatedEngine(load.speeds[i % load.speeds.length], load, random),
    ]),
  );
  const hosts = Array.from({length: load.hosts}, (_, index) => ({
    index,
    states: entries.map(entry => createTargetState(entry, -100_000)),
    work: new WorkModel('work'),
    pending: createPendingAverage(),
    calibration: createWaitCalibration(),
    isGone: false,
  }));
  type Host = (typeof hosts)[number];
  const inTime = load.kinds.map(() => 0);
  const totals = load.kinds.map(() => 0);
  let coldTokens = 0;
  let sharedTokens = 0;
  let errorSumMs = 0;

  function workMs(target: TargetState, newTokens: number): number {
    const perMs = PREFILL_TOKENS_PER_MS / (stageOf(target) === 'prefill' ? 1 : 2);
    return FIXED_MS + newTokens / perMs;
  }

  function transferMs(tokens: number): number {
    return 8 + tokens / 1200;
  }

  /** The placement with the earliest first event, by the true state of all engines. */
  function placeComplete(host: Host, kind: PromptKind, part: string): EnginePlacement {
    let best: TargetState | undefined;
    let bestCost = Infinity;
    for (const target of host.states) {
      if (stageOf(target) !== 'prefill') continue;
      const engine = engines.get(target.entry.id)!;
      const isCached = engine.cached.has(part);
      const tokens = kind.ownTokens + (isCached ? 0 : kind.sharedTokens);
      const startMs = Math.max(queue.nowMs + NETWORK_MS, engine.readyMs);
      const doneMs = engine.finish(startMs, workMs(target, tokens));
      const copyMs = isCached ? 0 : kind.sharedTokens * 0.006;
      if (doneMs + copyMs >= bestCost) continue;
      best = target;
      bestCost = doneMs + copyMs;
    }
    const decodes = host.states.filter(target => stageOf(target) === 'decode');
    const load = (target: TargetState) =>
      engines.get(target.entry.id)!.report(queue.nowMs).running / 64 +
      engines.get(target.entry.id)!.slowdownAt(queue.nowMs);
    const decode = decodes.reduce((a, b) => (load(b) < load(a) ? b : a));
    const times = {waitMs: bestCost - queue.nowMs, queueMs: 0, uncalibratedMs: 0, newTokens: 0};
    return {type: 'staged', prefill: best!, decode, ...times};
  }

  function place(host: Host, kind: PromptKind, part: string, parts: ReturnType<typeof makeParts>) {
    if (scheduler === 'complete') return placeComplete(host, kind, part);
    const promptTokens = kind.sharedTokens + kind.ownTokens;
    const work = {parts, promptTokens, urgency: 0};
    const context = {
      hostCount: hosts.filter(other => !other.isGone).length,
      nowMs: queue.nowMs,
      allowsStaging: true,
      calibration: host.calibration,
      pending: host.pending,
      estimates: DEFAULT_ENGINE_ESTIMATES,
      random: choices,
    };
    const tried = new Set<TargetId>();
    if (scheduler === 'slots') return placePrompt(host.states, work, tried, context);
    return placePromptByWork(host.states, work, tried, {
      ...context,
      work: host.work,
      service: host.work.ofService(ENGINES),
    });
  }

  function serve(kindIndex: number, prefix: string): void {
    const kind = load.kinds[kindIndex];
    const live = hosts.filter(host => !host.isGone);
    const host = live[random.nextInt(live.length)];
    const arrivedMs = queue.nowMs;
    const parts = makeParts([prefix, kind.sharedTokens], ['own', kind.ownTokens]);
    const promptTokens = kind.sharedTokens + kind.ownTokens;
    const placement = place(host, kind, prefix, parts);
    totals[kindIndex]++;
    if (placement.type === 'none') return;
    const reader = placement.type === 'staged' ? placement.prefill : placement.decode;
    const engine = engines.get(reader.entry.id)!;
    const isCached = engine.cached.has(prefix);
    sharedTokens += kind.sharedTokens;
    if (!isCached) coldTokens += kind.sharedTokens;
    engine.cached.add(prefix);
    const newTokens = kind.ownTokens + (isCached ? 0 : kind.sharedTokens);
    const sentMs = queue.nowMs;
    const assumedTokens =
      estimateCachedTokens(reader, sharedPrefix(parts), sentMs) > 0 ? kind.ownTokens : promptTokens;
    recordParts(reader, parts, sentMs);
    if (placement.expectation) recordPrefillSent(host.work, placement.expectation, sentMs);
    reader.ownRequests++;
    reader.ownPromptTokens += assumedTokens;
    const doneMs = engine.prefill(sentMs + NETWORK_MS, workMs(reader, newTokens)) + NETWORK_MS;
    queue.add(doneMs, () => {
      reader.ownRequests--;
      reader.ownPromptTokens -= assumedTokens;
      const actualMs = doneMs - sentMs;
      recordLoad(reader, engine.report(queue.nowMs), queue.nowMs);
      recordWait(host.calibration, stageOf(reader), 0, placement.uncalibratedMs, actualMs);
      if (placement.expectation) {
        errorSumMs += Math.abs(placement.expectation.totalMs - actualMs);
        recordPrefilled(host.work, placement.expectation, actualMs, queue.nowMs);
      }
      if (placement.type === 'staged') {
        decode(host, placement.decode, kindIndex, arrivedMs, transferMs(promptTokens));
      } else {
        decode(host, placement.decode, kindIndex, arrivedMs, 0);
      }
    });
  }

  function decode(
    host: Host,
    target: TargetState,
    kindIndex: number,
    arrivedMs: number,
    fetchMs: number,
  ): void {
    const kind = load.kinds[kindIndex];
    const engine = engines.get(target.entry.id)!;
    engine.decoded++;
    const startMs = queue.nowMs;
    const firstMs = engine.finish(startMs + fetchMs, STEP_MS) + NETWORK_MS;
    if (firstMs - arrivedMs <= kind.objectiveMs) inTime[kindIndex]++;
    const endMs = engine.finish(firstMs, kind.outputTokens * STEP_MS);
    engine.addStream(endMs);
    target.ownRequests++;
    queue.add(firstMs, () => recordLoad(target, engine.report(queue.nowMs), queue.nowMs));
    queue.add(endMs, () => {
      target.ownRequests--;
      recordStreamWork(host.work, target, endMs - startMs, queue.nowMs);
    });
  }

  load.kinds.forEach((kind, kindIndex) => {
    const count = Math.round((kind.perSecond * load.durationMs) / 1000);
    const prefixes = Math.max(1, Math.round(count / kind.promptsPerPrefix));
    for (let i = 0; i < count; i++) {
      queue.add(random.next() * load.durationMs, () =>
        serve(kindIndex, `${kindIndex}-${i % prefixes}`),
      );
    }
  });
  scheduleReports(queue, hosts, load.durationMs, load.reportDelayMs ?? 800);
  if (load.lossAtMs !== undefined) {
    queue.add(load.lossAtMs, () => {
      for (const host of hosts) host.isGone = host.index % 2 === 0;
    });
  }
  queue.run();
  const busy = [...engines.values()].map(({busyMs}) => busyMs).filter(ms => ms > 0);
  const total = totals.reduce((sum, count) => sum + count, 0);
  return {
    inTimeShare: inTime.reduce((sum, count) => sum + count, 0) / total,
    inTimeByKind: inTime.map((count, i) => count / totals[i]),
    decodedByEngine: [...engines.values()].map(({decoded}) => decoded),
    busiestShare: Math.max(...busy) / (busy.reduce((sum, ms) => sum + ms, 0) / busy.length),
    coldShare: coldTokens / sharedTokens,
    meanErrorMs: errorSumMs / total,
    utilization: busy.reduce((sum, ms) => sum + ms, 0) / busy.length / load.durationMs,
  };
}

/** Calls with the same path. */
export interface CallKind {
  readonly path: string;
  readonly share: number;
  /** Range of the time at a target of mean speed. */
  readonly minMs: number;
  readonly maxMs: number;
  readonly objectiveMs: number;
}

/** A load of calls at plain targets. */
export interface CallLoad {
  readonly seed: number;
  readonly hosts: number;
  readonly slots: number;
  /** Relative speed of each target. */
  readonly speeds: readonly number[];
  readonly durationMs: number;
  readonly kinds: readonly CallKind[];
  /** Load relative to the capacity of all targets. */
  readonly utilization: number;
  readonly slowdown?: EngineLoad['slowdown'] & {
    /** Whether one target after the other is slower, each for `slowMs`. */
    readonly isInTurns?: boolean;
  };
  /** Time at which half of the hosts are gone. */
  readonly lossAtMs?: number;
  /** Kind that has several times its share between two times. */
  readonly burst?: {readonly kind: number; readonly fromMs: number; readonly toMs: number};
}

/** Plays calls with one scheduler; returns the share that was answered within its objective. */
export function playCallLoad(load: CallLoad, scheduler: Scheduler): number {
  const random = createSeededRandom(load.seed);
  const choices = createSeededRandom(load.seed + 1000);
  const queue = new EventQueue();
  const entries = load.speeds.map((_, i) =>
    makeEntry(`target-${i}`, {slots: load.slots, stage: undefined}),
  );
  const servers = new Map(
    entries.map(({id}, i) => {
      const turnMs = load.slowdown?.isInTurns
        ? {index: i, count: entries.length, slowMs: load.slowdown.slowMs}
        : undefined;
      const server = new SimulatedEngine(load.speeds[i], load, random, turnMs);
      return [id, {server, freeMs: Array.from({length: load.slots}, () => 0)}] as const;
    }),
  );
  const hosts = Array.from({length: load.hosts}, (_, index) => ({
    index,
    states: entries.map(entry => createTargetState(entry, -100_000)),
    work: new WorkModel('work'),
    isGone: false,
  }));
  type Host = (typeof hosts)[number];
  let total = 0;
  let inTime = 0;

  function placeComplete(states: readonly TargetState[], workMs: number) {
    let best = states[0];
    let bestMs = Infinity;
    for (const state of states) {
      const {server, freeMs} = servers.get(state.entry.id)!;
      const doneMs = server.finish(Math.max(queue.nowMs + NETWORK_MS, Math.min(...freeMs)), workMs);
      if (doneMs >= bestMs) continue;
      best = state;
      bestMs = doneMs;
    }
    return best;
  }

  function serve(host: Host, kind: CallKind): void {
    const kinds = kindsOf({
      service: ENGINES,
      route: 'route',
      pathPrefix: '/a/',
      path: `/a/${kind.path}`,
      bodyBytes: 100,
      team: undefined,
    });
    const workMs = kind.minMs + random.next() * (kind.maxMs - kind.minMs);
    const sentMs = queue.nowMs;
    const context: CallPlacementContext = {
      work: host.work,
      hostCount: hosts.filter(other => !other.isGone).length,
      nowMs: sentMs,
      random: choices,
    };
    const tried = new Set<TargetId>();
    const byWork =
      scheduler === 'work' ? placeCallByWork(host.states, kinds, tried, context) : undefined;
    const target =
      scheduler === 'complete'
        ? placeComplete(host.states, workMs)
        : (byWork?.target ?? placeRequest(host.states, tried, sentMs, choices)!);
    const {server, freeMs} = servers.get(target.entry.id)!;
    const slot = freeMs.indexOf(Math.min(...freeMs));
    freeMs[slot] = server.finish(Math.max(sentMs + NETWORK_MS, freeMs[slot]), workMs);
    server.addStream(freeMs[slot]);
    const answeredMs = freeMs[slot] + NETWORK_MS;
    total++;
    if (answeredMs - sentMs <= kind.objectiveMs) inTime++;
    target.ownRequests++;
    const release = byWork && recordCallSent(host.work, target, byWork.expectation, sentMs);
    queue.add(answeredMs, () => {
      target.ownRequests--;
      release?.();
      const report = server.report(queue.nowMs);
      recordLoad(target, {...report, slots: load.slots}, queue.nowMs);
      const expectation = byWork?.expectation;
      recordCall(host.work, target, kinds, expectation, answeredMs - sentMs, queue.nowMs);
    });
  }

  const meanMs = load.kinds.reduce(
    (sum, kind) => sum + (kind.share * (kind.minMs + kind.maxMs)) / 2,
    0,
  );
  const capacity = load.slots * load.speeds.reduce((sum, speed) => sum + speed, 0);
  const count = Math.round((load.utilization * capacity * load.durationMs) / meanMs);
  for (let i = 0; i < count; i++) {
    const atMs = random.next() * load.durationMs;
    let point = random.next();
    let kind = load.kinds.find(({share}) => (point -= share) < 0) ?? load.kinds[0];
    const {burst} = load;
    if (burst && atMs > burst.fromMs && atMs < burst.toMs) kind = load.kinds[burst.kind];
    queue.add(atMs, () => {
      const live = hosts.filter(host => !host.isGone);
      serve(live[random.nextInt(live.length)], kind);
    });
  }
  scheduleReports(queue, hosts, load.durationMs, 800);
  if (load.lossAtMs !== undefined) {
    queue.add(load.lossAtMs, () => {
      for (const host of hosts) host.isGone = host.index % 2 === 0;
    });
  }
  queue.run();
  return inTime / total;
}

/** Exchanges the reports of the hosts each second. */
function scheduleReports(
  queue: EventQueue,
  hosts: readonly {readonly work: WorkModel; isGone: boolean}[],
  durationMs: number,
  delayMs: number,
): void {
  for (let atMs = 0; atMs < durationMs; atMs += REPORT_INTERVAL_MS) {
    queue.add(atMs, () => {
      const live = hosts.filter(host => !host.isGone);
      const reports = live.map(host => ({host, report: host.work.report(atMs)!}));
      queue.add(atMs + delayMs, () => {
        for (const host of live) {
          const others = reports.filter(other => other.host !== host);
          host.work.applyReports(
            others.map(({report}) => report),
            queue.nowMs,
          );
        }
      });
    });
  }
}
