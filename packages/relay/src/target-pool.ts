import {AnswerBuffer, AnswerMemory, Clock, EventLog, RequestId, TargetId} from '@radishgw/core';
import {
  AttemptOutcome,
  DEFAULT_HEALTH_SETTINGS,
  HealthSettings,
  recordHealthDispatch,
  recordHealthOutcome,
  recordHealthProgress,
} from '@radishgw/scheduling';
import {PromptPartId, ServiceName, TargetEntry, TargetList} from './model.js';
import {Attempt, OutgoingRequest, TargetConnections} from './target-connections.js';
import {createTargetState, TargetState} from './target-state.js';
import {createTargetView, isSameIncarnation, updateTargets} from './target-view.js';

/** Failed targets are excluded only briefly because most failures last only seconds. */
const HEALTH_SETTINGS: HealthSettings = {
  ...DEFAULT_HEALTH_SETTINGS,
  minExclusionMs: 500,
  maxExclusionMs: 4000,
};

/** A target with its connections. */
export interface PooledTarget extends TargetState {
  readonly connections: TargetConnections;
  /** Runs of this host that are in progress, with the shared parts of their prompts. */
  readonly runs: Map<RequestId, readonly PromptPartId[]>;
}

/** The known targets with their connections and state, by service. */
export class TargetPool {
  private readonly view = createTargetView();
  private readonly targets = new Map<TargetId, PooledTarget>();
  private readonly byService = new Map<ServiceName, PooledTarget[]>();
  private readonly answerMemory = new AnswerMemory();
  private attemptCount = 0;

  constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  get hasSynced(): boolean {
    return this.view.readAtMs > -Infinity;
  }

  /** Time since the list of targets was current in the store. */
  listAgeMs(): number {
    return this.clock.nowMs() - this.view.readAtMs;
  }

  /**
   * Applies a complete read of the list of targets, which was current in the store at `asOfMs`.
   * `isShared` says whether another host read it.
   */
  update(list: TargetList, asOfMs = this.clock.nowMs(), isShared = false): void {
    const previousAgeMs = this.listAgeMs();
    const changes = updateTargets(this.view, list, asOfMs);
    for (const entry of changes.gone) {
      const target = this.targets.get(entry.id);
      if (!target || !isSameIncarnation(target.entry, entry)) continue;
      target.entry = {...entry, isDraining: true};
      target.connections.retire();
      this.targets.delete(entry.id);
    }
    this.byService.clear();
    for (const entry of this.view.targets.values()) {
      let target = this.targets.get(entry.id);
      if (target) target.entry = entry;
      else target = this.add(entry);
      const sameService = this.byService.get(entry.service);
      if (sameService) sameService.push(target);
      else this.byService.set(entry.service, [target]);
    }
    const {added, draining, gone, kept} = changes;
    for (const {id} of draining) this.targets.get(id)?.connections.retire();
    if (added.length + draining.length + gone.length + kept.length === 0) return;
    const ids = (entries: readonly TargetEntry[]) =>
      entries.map(entry => `${entry.id} ${entry.stage ?? ''}${entry.isCheap ? ' cheap' : ''}`);
    this.log.write('targetsChanged', {
      added: ids(added),
      draining: ids(draining),
      gone: ids(gone),
      kept: ids(kept),
      known: this.targets.size,
      isShared,
      revision: list.revision,
      listAgeMs: Math.round(this.listAgeMs()),
      previousAgeMs: Number.isFinite(previousAgeMs) ? Math.round(previousAgeMs) : undefined,
    });
  }

  /** Bytes of answers that are buffered, beyond those that each request may hold in any case. */
  get bufferedBytes(): number {
    return this.answerMemory.sharedBytes;
  }

  /** Opens a buffer for the answers to one request; it must be emptied by `resize(0)`. */
  openBuffer(): AnswerBuffer {
    return this.answerMemory.open();
  }

  /** Closes the connections to all targets. */
  close(): void {
    for (const target of this.targets.values()) target.connections.retire();
  }

  /** Records that the list could not be read from the store. */
  recordFailedRead(): void {
    this.view.hasFailedRead = true;
  }

  forService(service: ServiceName): readonly PooledTarget[] {
    return this.byService.get(service) ?? [];
  }

  all(): Iterable<PooledTarget> {
    return this.targets.values();
  }

  /** Sends a request to a target and counts it there until {@link PooledAttempt.finish}. */
  send(target: PooledTarget, request: OutgoingRequest, mayRepeat: boolean): PooledAttempt {
    const id = `a${this.attemptCount++}`;
    target.ownRequests++;
    recordHealthDispatch(target.health, id);
    const attempt = target.connections.send(request, mayRepeat);
    return new PooledAttempt(target, attempt, id, this.clock);
  }

  private add(entry: TargetEntry): PooledTarget {
    const target: PooledTarget = {
      ...createTargetState(entry, this.clock.nowMs()),
      connections: new TargetConnections(entry.address, this.clock),
      runs: new Map(),
    };
    this.targets.set(entry.id, target);
    return target;
  }
}

/** An attempt that counts towards the load of its target until it is finished. */
export class PooledAttempt {
  private isFinished = false;

  constructor(
    readonly target: PooledTarget,
    readonly attempt: Attempt,
    private readonly id: string,
    private readonly clock: Clock,
  ) {}

  /** Records that the target has made progress with the request. */
  recordProgress(): void {
    recordHealthProgress(this.target.health);
  }

  /** Finishes the attempt and aborts it if it is still in progress. */
  finish(outcome: AttemptOutcome): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.target.ownRequests--;
    this.attempt.abort();
    const nowMs = this.clock.nowMs();
    recordHealthOutcome(this.target.health, this.id, outcome, nowMs, HEALTH_SETTINGS);
  }
}
