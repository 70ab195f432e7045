import {
  FailureDomain,
  RandomSource,
  TargetId,
  toId,
  VirtualClock,
  createSeededRandom,
} from '@radishgw/core';
import {EngineLoad, EngineRole} from '@radishgw/fleet';
import {DEFAULT_ENGINE, FakeEngine, FakeEngineOptions} from './fake-engine.js';

/** Interval of load samples. The pool samples and delays reports itself, without engine reports. */
const SAMPLE_INTERVAL_MS = 1000;

/** Window over which prefill and decode rates are computed. */
const RATE_WINDOW_MS = 5000;

/** Time to restart a drained engine with the settings of its new role. */
const RESTART_MS = 10_000;

/** Fixed time and rate of a KV cache transfer to another engine. */
const TRANSFER_BASE_MS = 5;
const TRANSFER_TOKENS_PER_MS = 200;

/**
 * Engine settings by role. A full step of a role that decodes takes at most 44 ms: 36 ms with 96
 * sequences, and 44 ms with 64 sequences and a chunk of 256 prompt tokens.
 */
export const ROLE_OPTIONS: Readonly<Record<EngineRole, FakeEngineOptions>> = {
  prefill: {...DEFAULT_ENGINE, prefillChunkTokens: 4096, slots: 64},
  decode: {...DEFAULT_ENGINE, prefillChunkTokens: 512, slots: 96},
  both: {...DEFAULT_ENGINE, prefillChunkTokens: 256, slots: 64},
};

/** Prompt tokens per second of a prefill engine with full chunks. */
export const PREFILL_RATE = 4096 / (0.012 + 4096 / 16_000);

/** Generated tokens per second of a decode engine with a full batch. */
export const DECODE_RATE = 96 / (0.012 + 96 * 0.00025);

/** Prompt tokens per second of an engine with both roles and a full batch. */
const MIXED_PREFILL_RATE = 256 / 0.044;

/** Assumed wait for a free slot in a full batch. */
const FULL_BATCH_WAIT_MS = 2000;

/** A request to the pool. */
export interface PoolRequest {
  readonly atMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Progress of a request; a time is undefined until its event has happened. */
export interface PoolOutcome extends PoolRequest {
  firstTokenMs?: number;
  finishedMs?: number;
}

interface Snapshot {
  readonly atMs: number;
  readonly prefilledTokens: number;
  readonly generatedTokens: number;
  readonly pendingPrefillTokens: number;
  readonly running: number;
  readonly waiting: number;
}

interface PoolEngine {
  readonly id: TargetId;
  readonly failureDomain: FailureDomain;
  role: EngineRole;
  engine: FakeEngine;
  acceptsRequests: boolean;
  roleSinceMs: number;
  snapshots: Snapshot[];
  /** Prompt tokens of requests on this engine that have no first token yet. */
  pendingPromptTokens: number;
}

/** A pool of fake engines that change roles by draining and restarting with new settings. */
export class RolePool {
  readonly outcomes: PoolOutcome[] = [];
  private readonly members: PoolEngine[] = [];
  private readonly random: RandomSource;
  private nextRequest = 0;

  constructor(
    private readonly clock: VirtualClock,
    seed: number,
    roles: readonly EngineRole[],
    private readonly reportLagMs: number,
  ) {
    this.random = createSeededRandom(seed);
    roles.forEach((role, index) => {
      this.members.push({
        id: toId<TargetId>(`engine-${index}`),
        failureDomain: toId<FailureDomain>(`domain-${index % 3}`),
        role,
        engine: this.createEngine(index, role),
        acceptsRequests: true,
        roleSinceMs: -Infinity,
        snapshots: [],
        pendingPromptTokens: 0,
      });
    });
    this.sample();
  }

  private createEngine(index: number, role: EngineRole): FakeEngine {
    return new FakeEngine(`engine-${index}`, this.clock, this.random, ROLE_OPTIONS[role]);
  }

  /** Sends a request to the engine with the shortest expected prefill time. */
  submit(request: PoolRequest): void {
    const outcome: PoolOutcome = {...request};
    this.outcomes.push(outcome);
    const member = this.chooseEngine('prefill', request.promptTokens);
    const id = `r${this.nextRequest++}`;
    member.pendingPromptTokens += request.promptTokens;
    const engineRequest = {
      id,
      priority: 0,
      promptTokens: request.promptTokens,
      outputTokens: member.role === 'both' ? request.outputTokens : 1,
      blocks: [],
    };
    member.engine.submit(engineRequest, {
      onToken: generated => {
        if (generated > 1) return;
        outcome.firstTokenMs = this.clock.nowMs();
        member.pendingPromptTokens -= request.promptTokens;
      },
      onFinish: () => {
        if (member.role === 'both' || request.outputTokens <= 1) {
          outcome.finishedMs = this.clock.nowMs();
        } else {
          this.transferToDecode(id, outcome);
        }
      },
    });
  }

  /** Transfers a request and its KV cache to an engine that decodes. */
  private transferToDecode(id: string, outcome: PoolOutcome): void {
    const transferMs = TRANSFER_BASE_MS + outcome.promptTokens / TRANSFER_TOKENS_PER_MS;
    this.clock.setTimer(transferMs, () => {
      const {promptTokens, outputTokens} = outcome;
      this.chooseEngine('decode', 0).engine.submit(
        {
          id,
          priority: 0,
          promptTokens,
          outputTokens: outputTokens - 1,
          blocks: [],
          importedTokens: promptTokens,
        },
        {
          onFinish: () => {
            outcome.finishedMs = this.clock.nowMs();
          },
        },
      );
    });
  }

  private chooseEngine(kind: 'prefill' | 'decode', promptTokens: number): PoolEngine {
    const cost = kind === 'prefill' ? estimatePrefillMs : estimateDecodeLoad;
    const capable = this.members.filter(({role}) => role === kind || role === 'both');
    const accepting = capable.filter(({acceptsRequests}) => acceptsRequests);
    // While all capable engines are changing roles, a request still needs an engine.
    const candidates =
      accepting.length > 0 ? accepting : capable.length > 0 ? capable : this.members;
    let best = candidates[0];
    let bestCost = Infinity;
    for (const member of candidates) {
      const value = cost(member, promptTokens);
      if (value < bestCost) [best, bestCost] = [member, value];
    }
    return best;
  }

  /** Drains an engine, then restarts it with the settings of its new role. */
  changeRole(targetId: TargetId, role: EngineRole): void {
    const member = this.members.find(({id}) => id === targetId)!;
    member.acceptsRequests = false;
    member.roleSinceMs = this.clock.nowMs();
    const finish = () => {
      if (member.engine.outstanding > 0) {
        this.clock.setTimer(100, finish);
        return;
      }
      this.clock.setTimer(RESTART_MS, () => {
        member.role = role;
        member.engine = this.createEngine(this.members.indexOf(member), role);
        member.snapshots = [];
        member.acceptsRequests = true;
      });
    };
    finish();
  }

  private sample(): void {
    const atMs = this.clock.nowMs();
    for (const member of this.members) {
      const {running, waiting} = member.engine.sampleLoad();
      const pendingPrefillTokens = member.pendingPromptTokens;
      const {prefilledTokens, generatedTokens} = member.engine.totals;
      member.snapshots.push({
        atMs,
        prefilledTokens,
        generatedTokens,
        pendingPrefillTokens,
        running,
        waiting,
      });
      if (member.snapshots.length > 60) member.snapshots.shift();
    }
    this.clock.setTimer(SAMPLE_INTERVAL_MS, () => this.sample());
  }

  /** Returns the latest load reports that are at least `reportLagMs` old. */
  readLoads(intendedRoles: ReadonlyMap<TargetId, EngineRole>): EngineLoad[] {
    const nowMs = this.clock.nowMs();
    return this.members.map(member => {
      const known = member.snapshots.filter(({atMs}) => atMs <= nowMs - this.reportLagMs);
      const last = known.at(-1);
      const first = known.find(({atMs}) => last && atMs >= last.atMs - RATE_WINDOW_MS);
      const elapsedMs = last && first ? Math.max(1, last.atMs - first.atMs) : 1;
      const generated = last && first ? last.generatedTokens - first.generatedTokens : 0;
      const prefilled = last && first ? last.prefilledTokens - first.prefilledTokens : 0;
      const isPrefill = member.role === 'prefill';
      return {
        targetId: member.id,
        failureDomain: member.failureDomain,
        role: intendedRoles.get(member.id) ?? member.role,
        roleAgeMs: nowMs - member.roleSinceMs,
        changing: !member.acceptsRequests,
        leaving: false,
        reportAgeMs: last ? nowMs - last.atMs : Infinity,
        prefillWork: (prefilled * 1000) / elapsedMs / PREFILL_RATE,
        prefillBacklogMs: last ? (last.pendingPrefillTokens * 1000) / PREFILL_RATE : 0,
        decodeWork: isPrefill ? 0 : (generated * 1000) / elapsedMs / DECODE_RATE,
        decodeBacklog: !last || isPrefill ? 0 : last.waiting / ROLE_OPTIONS.decode.slots,
      };
    });
  }
}

/** Expected time in ms until a new prompt is computed. */
function estimatePrefillMs(member: PoolEngine, promptTokens: number): number {
  const tokens = member.pendingPromptTokens + promptTokens;
  if (member.role === 'prefill') return (tokens * 1000) / PREFILL_RATE;
  const {outstanding, options} = member.engine;
  const isFull = outstanding >= options.slots;
  return (tokens * 1000) / MIXED_PREFILL_RATE + (isFull ? FULL_BATCH_WAIT_MS : 0);
}

/** Share of the batch in use, plus a part for prompts that will decode on this engine later. */
function estimateDecodeLoad({engine, pendingPromptTokens}: PoolEngine): number {
  return engine.outstanding / engine.options.slots + pendingPromptTokens / 4096;
}
