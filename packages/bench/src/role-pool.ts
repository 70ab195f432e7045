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

/** Report settings of this pool: reports are sampled here, with a lag that the engine doesn't add. */
const SAMPLE_MS = 1000;

/** Time in which a prefill engine's rate is measured. */
const RATE_WINDOW_MS = 5000;

/** Time to restart an engine with the settings of its new role, after it has drained. */
const RESTART_MS = 10_000;

/** Copy of a prompt's KV cache to another engine: fixed part and rate. */
const TRANSFER_BASE_MS = 5;
const TRANSFER_TOKENS_PER_MS = 200;

/**
 * Engine settings by role. A full step of each role with decoding takes at most 44 ms: 36 ms with
 * 96 sequences, and 44 ms with 64 sequences and a chunk of 256 prompt tokens.
 */
export const ROLE_OPTIONS: Readonly<Record<EngineRole, FakeEngineOptions>> = {
  prefill: {...DEFAULT_ENGINE, prefillChunkTokens: 4096, slots: 64},
  decode: {...DEFAULT_ENGINE, prefillChunkTokens: 512, slots: 96},
  both: {...DEFAULT_ENGINE, prefillChunkTokens: 256, slots: 64},
};

/** Prompt tokens per second of an engine that only does prefill, with full chunks. */
export const PREFILL_RATE = 4096 / (0.012 + 4096 / 16_000);

/** Tokens per second of an engine that only generates, with a full batch. */
export const DECODE_RATE = 96 / (0.012 + 96 * 0.00025);

/** Prompt tokens per second of an engine with both roles and a full batch. */
const MIXED_PREFILL_RATE = 256 / 0.044;

/** Assumed wait for a place in a full batch. */
const FULL_BATCH_WAIT_MS = 2000;

/** A request of the pool's load. */
export interface PoolRequest {
  readonly atMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** What became of a request; undefined times when it didn't get that far. */
export interface PoolOutcome extends PoolRequest {
  firstTokenMs?: number;
  doneMs?: number;
}

interface Snapshot {
  readonly atMs: number;
  readonly prefilledTokens: number;
  readonly generatedTokens: number;
  readonly pendingPrefillTokens: number;
  readonly running: number;
  readonly waiting: number;
}

interface Member {
  readonly id: TargetId;
  readonly failureDomain: FailureDomain;
  role: EngineRole;
  engine: FakeEngine;
  accepts: boolean;
  roleSinceMs: number;
  snapshots: Snapshot[];
  /** Prompt tokens of requests that wait for their first token here. */
  pendingPromptTokens: number;
}

/** A pool of fake engines whose roles can change: drain, then restart with the new settings. */
export class RolePool {
  readonly outcomes: PoolOutcome[] = [];
  private readonly members: Member[] = [];
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
        accepts: true,
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

  /** Sends a request to the engine that should compute its prompt first. */
  submit(request: PoolRequest): void {
    const outcome: PoolOutcome = {...request};
    this.outcomes.push(outcome);
    const member = this.chooseFor('prefill', request.promptTokens);
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
          outcome.doneMs = this.clock.nowMs();
        } else {
          this.handOver(id, outcome);
        }
      },
    });
  }

  /** Moves a request with its KV cache to an engine that generates. */
  private handOver(id: string, outcome: PoolOutcome): void {
    const transferMs = TRANSFER_BASE_MS + outcome.promptTokens / TRANSFER_TOKENS_PER_MS;
    this.clock.setTimer(transferMs, () => {
      const {promptTokens, outputTokens} = outcome;
      this.chooseFor('decode', 0).engine.submit(
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
            outcome.doneMs = this.clock.nowMs();
          },
        },
      );
    });
  }

  private chooseFor(kind: 'prefill' | 'decode', promptTokens: number): Member {
    const cost = kind === 'prefill' ? estimatePrefillTime : estimateFill;
    const able = this.members.filter(({role}) => role === kind || role === 'both');
    const open = able.filter(({accepts}) => accepts);
    // A planned change must not leave a request without an engine.
    const candidates = open.length > 0 ? open : able.length > 0 ? able : this.members;
    let best = candidates[0];
    let bestCost = Infinity;
    for (const member of candidates) {
      const value = cost(member, promptTokens);
      if (value < bestCost) [best, bestCost] = [member, value];
    }
    return best;
  }

  /** Drains an engine, restarts it with the settings of its new role, and lets it serve. */
  changeRole(targetId: TargetId, role: EngineRole): void {
    const member = this.members.find(({id}) => id === targetId)!;
    member.accepts = false;
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
        member.accepts = true;
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
    this.clock.setTimer(SAMPLE_MS, () => this.sample());
  }

  /** Load reports as they are known now, `reportLagMs` after sampling. */
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
        changing: !member.accepts,
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

/** Expected time until a new prompt is computed, in ms. */
function estimatePrefillTime(member: Member, promptTokens: number): number {
  const tokens = member.pendingPromptTokens + promptTokens;
  if (member.role === 'prefill') return (tokens * 1000) / PREFILL_RATE;
  const {outstanding, options} = member.engine;
  const isFull = outstanding >= options.slots;
  return (tokens * 1000) / MIXED_PREFILL_RATE + (isFull ? FULL_BATCH_WAIT_MS : 0);
}

/** Share of the batch that is taken, with prompts that will generate here later. */
function estimateFill({engine, pendingPromptTokens}: Member): number {
  return engine.outstanding / engine.options.slots + pendingPromptTokens / 4096;
}
