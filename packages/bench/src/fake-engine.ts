import {Clock, RandomSource, Timer} from '@radishgw/core';
import {PrefixCache} from './prefix-cache.js';

/** Tokens in one block of KV cache memory. */
export const BLOCK_TOKENS = 2000;

/** Performance and capacity of a fake engine. */
export interface FakeEngineOptions {
  /** Largest number of sequences in a batch. */
  readonly slots: number;
  /** Fixed time of a step. */
  readonly stepBaseMs: number;
  /** Added to the time of a step for each sequence that decodes in it. */
  readonly decodeMsPerSequence: number;
  readonly prefillTokensPerSecond: number;
  /** Largest number of prompt tokens computed in one step; decoding in the step waits for them. */
  readonly prefillChunkTokens: number;
  /** Memory shared by running sequences and cached prefixes. */
  readonly memoryBlocks: number;
  readonly reportIntervalMs: number;
  /** Time from sampling a load report to its delivery. */
  readonly reportLagMs: number;
  readonly cacheEventLagMs: number;
  /** Share of cache events that are never delivered. */
  readonly cacheEventLoss: number;
}

/** About 1,600 generated tokens per second in a full batch without prefill. */
export const DEFAULT_ENGINE: FakeEngineOptions = {
  slots: 32,
  stepBaseMs: 12,
  decodeMsPerSequence: 0.25,
  prefillTokensPerSecond: 16_000,
  prefillChunkTokens: 512,
  memoryBlocks: 256,
  reportIntervalMs: 500,
  reportLagMs: 100,
  cacheEventLagMs: 200,
  cacheEventLoss: 0.02,
};

/** A request to an engine. */
export interface EngineRequest {
  readonly id: string;
  /** Lower numbers are admitted and prefilled first. */
  readonly priority: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Ids of the prompt's full blocks in order; equal ids mean equal prefixes up to that block. */
  readonly blocks: readonly string[];
  /** Leading prompt tokens whose KV cache is transferred with the request; 0 by default. */
  readonly importedTokens?: number;
}

/** Reason why an engine didn't finish a request. A `refused` request was never run. */
export type EngineFailure = 'crashed' | 'refused' | 'cancelled' | 'brownOut';

/** Callbacks of one request. */
export interface EngineListener {
  /** `generated` is the number of tokens so far, from 1. */
  onToken?(generated: number): void;
  onFinish?(): void;
  onFail?(failure: EngineFailure): void;
}

/** Load sampled at `sampledAtMs` on the shared clock and delivered later. */
export interface EngineLoadReport {
  readonly sampledAtMs: number;
  readonly running: number;
  readonly waiting: number;
  /** Prompt tokens of running and waiting requests that are still to be computed. */
  readonly pendingPrefillTokens: number;
  readonly freeBlocks: number;
}

/** A change of the prefix cache. A gap in `sequence` means that events were lost. */
export interface EngineCacheEvent {
  readonly sequence: number;
  readonly kind: 'added' | 'removed';
  readonly block: string;
}

/** Callbacks for load reports and cache events. */
export interface EngineSubscriber {
  onReport?(report: EngineLoadReport): void;
  onCacheEvent?(event: EngineCacheEvent): void;
}

/** A partial fault: a share of the requests fails at the first token, and steps take longer. */
export interface BrownOut {
  readonly failShare: number;
  readonly slowdown: number;
}

interface Sequence {
  readonly request: EngineRequest;
  readonly listener: EngineListener;
  readonly order: number;
  readonly reservedBlocks: number;
  /** Prompt tokens to compute, without those in the cache; -1 until admission. */
  remainingPrefill: number;
  generated: number;
  isDone: boolean;
}

/**
 * Simulates a model engine on a virtual clock: continuous batching in steps, chunked prefill that
 * delays all decoding sequences of the step, priorities, a prefix cache in the memory that running
 * sequences leave free, lagging load reports, and cache events that lag or are lost.
 */
export class FakeEngine {
  /** Totals since the engine was created, for measurements. */
  readonly totals = {busyMs: 0, generatedTokens: 0, prefilledTokens: 0, cachedTokens: 0};
  private readonly waiting: Sequence[] = [];
  private readonly running: Sequence[] = [];
  private readonly subscribers: EngineSubscriber[] = [];
  private readonly cache: PrefixCache;
  private reservedBlocks = 0;
  private nextOrder = 0;
  private nextEvent = 0;
  private isUp = true;
  private brownOut: BrownOut = {failShare: 0, slowdown: 1};
  private stepTimer: Timer | undefined;
  private reportTimer: Timer | undefined;

  constructor(
    readonly id: string,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    readonly options: FakeEngineOptions = DEFAULT_ENGINE,
  ) {
    this.cache = new PrefixCache(options.memoryBlocks, (kind, block) =>
      this.publishCacheEvent(kind, block),
    );
  }

  /** Adds a subscriber. The first one starts the load reports, at a random phase. */
  subscribe(subscriber: EngineSubscriber): void {
    this.subscribers.push(subscriber);
    if (this.reportTimer) return;
    const phaseMs = this.random.next() * this.options.reportIntervalMs;
    this.reportTimer = this.clock.setTimer(phaseMs, () => this.report());
  }

  get outstanding(): number {
    return this.waiting.length + this.running.length;
  }

  get runningCount(): number {
    return this.running.length;
  }

  /**
   * Queues a request. An engine that is down refuses it. The memory reserved for a request is at most
   * that of the engine, so that a larger request runs alone.
   */
  submit(request: EngineRequest, listener: EngineListener): void {
    if (!this.isUp) {
      this.clock.setTimer(0, () => listener.onFail?.('refused'));
      return;
    }
    const tokens = request.promptTokens + request.outputTokens;
    const sequence: Sequence = {
      request,
      listener,
      order: this.nextOrder++,
      reservedBlocks: Math.min(this.options.memoryBlocks, Math.ceil(tokens / BLOCK_TOKENS)),
      remainingPrefill: -1,
      generated: 0,
      isDone: false,
    };
    insertSorted(this.waiting, sequence);
    if (!this.stepTimer) this.startStep();
  }

  /** Cancels a request; its listener receives the failure `cancelled`. */
  cancel(requestId: string): void {
    for (const list of [this.waiting, this.running]) {
      const index = list.findIndex(sequence => sequence.request.id === requestId);
      if (index < 0) continue;
      const [sequence] = list.splice(index, 1);
      sequence.isDone = true;
      if (list === this.running) this.release(sequence);
      sequence.listener.onFail?.('cancelled');
      return;
    }
  }

  /** Drops all requests and the cache. The engine refuses requests until {@link restart}. */
  crash(): void {
    this.isUp = false;
    this.stepTimer?.cancel();
    this.stepTimer = undefined;
    const lost = [...this.running.splice(0), ...this.waiting.splice(0)];
    this.reservedBlocks = 0;
    this.cache.reset();
    for (const sequence of lost) sequence.isDone = true;
    for (const sequence of lost) sequence.listener.onFail?.('crashed');
  }

  /** Accepts requests again, with an empty cache. */
  restart(): void {
    this.cache.resize(this.options.memoryBlocks);
    this.isUp = true;
  }

  /** Starts or, with `{failShare: 0, slowdown: 1}`, ends a brown-out. */
  setBrownOut(brownOut: BrownOut): void {
    this.brownOut = brownOut;
  }

  private release(sequence: Sequence): void {
    this.reservedBlocks -= sequence.reservedBlocks;
    this.cache.resize(this.options.memoryBlocks - this.reservedBlocks);
  }

  private admit(): void {
    const {slots, memoryBlocks} = this.options;
    while (this.waiting.length > 0 && this.running.length < slots) {
      const next = this.waiting[0];
      if (this.reservedBlocks + next.reservedBlocks > memoryBlocks) return;
      this.waiting.shift();
      const {promptTokens, blocks, importedTokens = 0} = next.request;
      const cached = Math.min(promptTokens, this.cache.countHits(blocks) * BLOCK_TOKENS);
      const ready = Math.max(importedTokens, cached);
      this.totals.cachedTokens += ready;
      // At least one prompt token is computed, because the first output token depends on it.
      next.remainingPrefill =
        importedTokens >= promptTokens ? 0 : Math.max(1, promptTokens - ready);
      this.reservedBlocks += next.reservedBlocks;
      this.cache.resize(memoryBlocks - this.reservedBlocks);
      this.running.push(next);
    }
  }

  /** Schedules one step and sets a timer for its end. */
  private startStep(): void {
    this.admit();
    if (this.running.length === 0) {
      this.stepTimer = undefined;
      return;
    }
    const prefilled = this.schedulePrefill();
    const decoding = this.running.filter(sequence => sequence.remainingPrefill === 0);
    const {stepBaseMs, decodeMsPerSequence, prefillTokensPerSecond} = this.options;
    const durationMs =
      (stepBaseMs +
        decoding.length * decodeMsPerSequence +
        (prefilled * 1000) / prefillTokensPerSecond) *
      this.brownOut.slowdown;
    this.totals.busyMs += durationMs;
    this.totals.prefilledTokens += prefilled;
    this.stepTimer = this.clock.setTimer(durationMs, () => this.endStep(decoding));
  }

  /** Assigns up to one chunk of prefill to running sequences, by priority and then by age. */
  private schedulePrefill(): number {
    let budget = this.options.prefillChunkTokens;
    const pending = this.running.filter(sequence => sequence.remainingPrefill > 0);
    if (pending.length > 1) pending.sort(compareSequences);
    for (const sequence of pending) {
      const tokens = Math.min(budget, sequence.remainingPrefill);
      sequence.remainingPrefill -= tokens;
      budget -= tokens;
      if (sequence.remainingPrefill === 0) this.cache.insert(sequence.request.blocks);
      if (budget === 0) break;
    }
    return this.options.prefillChunkTokens - budget;
  }

  private endStep(decoding: readonly Sequence[]): void {
    for (const sequence of decoding) {
      // A callback of an earlier sequence may have cancelled this one or crashed the engine.
      if (sequence.isDone) continue;
      if (sequence.generated === 0 && this.random.next() < this.brownOut.failShare) {
        this.remove(sequence);
        sequence.listener.onFail?.('brownOut');
        continue;
      }
      sequence.generated++;
      this.totals.generatedTokens++;
      sequence.listener.onToken?.(sequence.generated);
      if (sequence.generated < sequence.request.outputTokens) continue;
      this.remove(sequence);
      sequence.listener.onFinish?.();
    }
    if (this.isUp) this.startStep();
  }

  private remove(sequence: Sequence): void {
    // The callback for the last token may already have cancelled the sequence.
    if (sequence.isDone) return;
    sequence.isDone = true;
    this.running.splice(this.running.indexOf(sequence), 1);
    this.release(sequence);
  }

  private report(): void {
    this.reportTimer = this.clock.setTimer(this.options.reportIntervalMs, () => this.report());
    if (!this.isUp) return;
    const report = this.sampleLoad();
    this.clock.setTimer(this.options.reportLagMs, () => {
      for (const subscriber of this.subscribers) subscriber.onReport?.(report);
    });
  }

  /** Returns the current load in the form of a report, without lag. */
  sampleLoad(): EngineLoadReport {
    let pendingPrefillTokens = 0;
    for (const {remainingPrefill} of this.running) pendingPrefillTokens += remainingPrefill;
    for (const {request} of this.waiting) pendingPrefillTokens += request.promptTokens;
    return {
      sampledAtMs: this.clock.nowMs(),
      running: this.running.length,
      waiting: this.waiting.length,
      pendingPrefillTokens,
      freeBlocks: this.options.memoryBlocks - this.reservedBlocks,
    };
  }

  private publishCacheEvent(kind: 'added' | 'removed', block: string): void {
    const event: EngineCacheEvent = {sequence: this.nextEvent++, kind, block};
    if (this.subscribers.length === 0 || this.random.next() < this.options.cacheEventLoss) return;
    this.clock.setTimer(this.options.cacheEventLagMs, () => {
      for (const subscriber of this.subscribers) subscriber.onCacheEvent?.(event);
    });
  }
}

/** Mean engine time in ms that a request uses in a full batch without a cached prefix. */
export function estimateWorkMs(
  request: {readonly promptTokens: number; readonly outputTokens: number},
  options: FakeEngineOptions = DEFAULT_ENGINE,
): number {
  const decodeMsPerToken = options.stepBaseMs / options.slots + options.decodeMsPerSequence;
  const prefillMs = (request.promptTokens * 1000) / options.prefillTokensPerSecond;
  return prefillMs + request.outputTokens * decodeMsPerToken;
}

function compareSequences(a: Sequence, b: Sequence): number {
  return a.request.priority - b.request.priority || a.order - b.order;
}

function insertSorted(list: Sequence[], sequence: Sequence): void {
  let index = list.length;
  while (index > 0 && compareSequences(list[index - 1], sequence) > 0) index--;
  list.splice(index, 0, sequence);
}
