import {Clock, RandomSource, Timer} from '@radishgw/core';
import {PrefixCache} from './prefix-cache.js';

/** Tokens in one block of engine memory. */
export const BLOCK_TOKENS = 2000;

/** Speeds and sizes of a fake engine. */
export interface FakeEngineOptions {
  /** Sequences that run in one batch. */
  readonly slots: number;
  /** Time of a step without any sequence. */
  readonly stepBaseMs: number;
  /** Added to a step for each sequence that generates a token in it. */
  readonly decodeMsPerSequence: number;
  readonly prefillTokensPerSecond: number;
  /** Most prompt tokens computed in one step; the step's decoding waits for them. */
  readonly prefillChunkTokens: number;
  /** Memory for running sequences and cached prefixes together. */
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

/** Work for an engine. */
export interface EngineRequest {
  readonly id: string;
  /** Lower numbers are admitted and prefilled first. */
  readonly priority: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Ids of the prompt's full blocks in order; equal ids mean an equal prefix up to that block. */
  readonly blocks: readonly string[];
  /** Leading prompt tokens whose KV cache arrives with the request; 0 by default. */
  readonly importedTokens?: number;
}

/** Why an engine didn't finish a request. `refused` means that it did not run. */
export type EngineFailure = 'crashed' | 'refused' | 'cancelled' | 'brownOut';

/** Callbacks of one request. */
export interface EngineListener {
  /** `generated` counts the tokens so far, from 1. */
  onToken?(generated: number): void;
  onFinish?(): void;
  onFail?(failure: EngineFailure): void;
}

/** Load as sampled at `sampledAtMs` on the common clock; delivered later. */
export interface EngineLoadReport {
  readonly sampledAtMs: number;
  readonly running: number;
  readonly waiting: number;
  /** Prompt tokens still to be computed, of running and waiting requests. */
  readonly pendingPrefillTokens: number;
  readonly freeBlocks: number;
}

/** A change of the prefix cache. A gap in `sequence` shows that events were lost. */
export interface EngineCacheEvent {
  readonly sequence: number;
  readonly kind: 'added' | 'removed';
  readonly block: string;
}

/** Receivers of what the engine publishes. */
export interface EngineSubscriber {
  onReport?(report: EngineLoadReport): void;
  onCacheEvent?(event: EngineCacheEvent): void;
}

/** A lasting fault: a share of the requests fails at the first step, and steps take longer. */
export interface BrownOut {
  readonly failShare: number;
  readonly slowdown: number;
}

interface Sequence {
  readonly request: EngineRequest;
  readonly listener: EngineListener;
  readonly order: number;
  readonly reservedBlocks: number;
  /** -1 until admitted, when cached tokens are taken off. */
  remainingPrefill: number;
  generated: number;
  isDone: boolean;
}

/**
 * A model engine under a virtual clock: continuous batching in steps, chunked prefill that
 * lengthens the step for all decoding sequences, priorities, a prefix cache in the memory that
 * running sequences leave free, and reports and cache events that arrive late or not at all.
 */
export class FakeEngine {
  /** Sums over the engine's life, for measurements. */
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
    this.cache = new PrefixCache(options.memoryBlocks, (kind, block) => this.publish(kind, block));
  }

  /** Adds a receiver; load reports begin with the first one, at a random phase. */
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

  /** Queues a request. An engine that is down refuses it; one that is too small never admits it. */
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

  /** Ends a request early; its listener gets `cancelled`. */
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

  /** Loses all requests and the cache. The engine refuses work until {@link restart}. */
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

  /** Accepts work again, with an empty cache. */
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
      // At least one token is computed, since the first output token comes from it.
      next.remainingPrefill =
        importedTokens >= promptTokens ? 0 : Math.max(1, promptTokens - ready);
      this.reservedBlocks += next.reservedBlocks;
      this.cache.resize(memoryBlocks - this.reservedBlocks);
      this.running.push(next);
    }
  }

  /** Plans one step and sets the timer for its end. */
  private startStep(): void {
    this.admit();
    if (this.running.length === 0) {
      this.stepTimer = undefined;
      return;
    }
    const prefilled = this.takePrefill();
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

  /** Takes up to one chunk of prompt tokens off the running sequences, by priority, then age. */
  private takePrefill(): number {
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
    // The last token's callback may have cancelled the sequence already.
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

  /** Load at this moment, as a report would show it. */
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

  private publish(kind: 'added' | 'removed', block: string): void {
    const event: EngineCacheEvent = {sequence: this.nextEvent++, kind, block};
    if (this.subscribers.length === 0 || this.random.next() < this.options.cacheEventLoss) return;
    this.clock.setTimer(this.options.cacheEventLagMs, () => {
      for (const subscriber of this.subscribers) subscriber.onCacheEvent?.(event);
    });
  }
}

/** Mean engine time that a request takes in a full batch, in ms, without any cached prefix. */
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
