import {
  AnswerBuffer,
  AnswerMemory,
  Clock,
  EventLog,
  FailureDomain,
  RandomSource,
  ReadGate,
  RequestId,
  TargetId,
} from '@radishgw/core';
import {
  AttemptOutcome,
  DEFAULT_HEALTH_SETTINGS,
  excludeUntil,
  HealthSettings,
  recordHealthDispatch,
  recordHealthOutcome,
  recordHealthProgress,
} from '@radishgw/scheduling';
import {
  createLeavingTargets,
  incarnationKey,
  isLeaving,
  listShared,
  recordLeaving,
} from './leaving-targets.js';
import {RelayMetrics} from '../metrics.js';
import {
  AnswerMeta,
  EvacuationList,
  PromptPart,
  Region,
  RelayCodec,
  ServiceName,
  TargetEntry,
  TargetList,
} from '../model.js';
import {RunInProgress} from './run-identity.js';
import {TargetAccess} from './target-access.js';
import {backoffUntil} from './target-backoff.js';
import {Attempt, OutgoingRequest, TargetConnections} from './target-connections.js';
import {
  AccessRefusal,
  createTargetState,
  isClosed,
  partsPerTarget,
  recordParts,
  TargetState,
} from './target-state.js';
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
  /** Runs of this host that are in progress. */
  readonly runs: Map<RequestId, RunInProgress>;
}

/** Statuses with which a target refuses requests for a time that it may name. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Dependencies of {@link TargetPool}. */
export interface TargetPoolDependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly random: RandomSource;
  readonly codec: Pick<RelayCodec, 'readAnswer'>;
  /** Undefined where requests may be sent to all targets. */
  readonly access?: TargetAccess;
  readonly metrics?: Pick<RelayMetrics, 'count'>;
  /** Called when a target has told this host that it leaves. */
  onLeaving?(): void;
}

/**
 * The known targets with their connections and state, by service. Decides which of them may get new
 * calls, from their entries in the store and from what they say in answers.
 */
export class TargetPool {
  /** Holds back the reading of answers. */
  readonly readGate = new ReadGate();
  private readonly view = createTargetView();
  private readonly targets = new Map<TargetId, PooledTarget>();
  private readonly byService = new Map<ServiceName, PooledTarget[]>();
  private readonly answerMemory = new AnswerMemory();
  private readonly leaving = createLeavingTargets();
  private attemptCount = 0;

  constructor(private readonly deps: TargetPoolDependencies) {}

  /** Records the parts of a prompt that is sent to a target, whose cache will hold them. */
  recordParts(target: TargetState, parts: readonly PromptPart[]): void {
    recordParts(target, parts, this.deps.clock.nowMs(), partsPerTarget(this.targets.size));
  }

  get hasSynced(): boolean {
    return this.view.readAtMs > -Infinity;
  }

  /** Time since the list of targets was current in the store. */
  listAgeMs(): number {
    return this.deps.clock.nowMs() - this.view.readAtMs;
  }

  /**
   * Applies a complete read of the list of targets, which was current in the store at `asOfMs`.
   * `isShared` says whether another host read it.
   */
  update(list: TargetList, asOfMs = this.deps.clock.nowMs(), isShared = false): void {
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
    for (const listed of this.view.targets.values()) {
      const entry = isLeaving(this.leaving, listed) ? {...listed, isDraining: true} : listed;
      let target = this.targets.get(entry.id);
      const previous = target?.entry;
      if (target) target.entry = entry;
      else target = this.add(entry);
      this.updateCold(target, previous, Number.isFinite(previousAgeMs));
      const sameService = this.byService.get(entry.service);
      if (sameService) sameService.push(target);
      else this.byService.set(entry.service, [target]);
    }
    const {added, draining, gone, kept} = changes;
    for (const {id} of draining) this.targets.get(id)?.connections.retire();
    if (added.length + draining.length + gone.length + kept.length === 0) return;
    const ids = (entries: readonly TargetEntry[]) =>
      entries.map(entry => `${entry.id} ${entry.stage ?? ''}${entry.isCheap ? ' cheap' : ''}`);
    this.deps.log.write('targetsChanged', {
      added: ids(added),
      draining: ids(draining),
      gone: ids(gone),
      kept: ids(kept),
      known: this.targets.size,
      isShared,
      era: list.era,
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

  /** The targets of a service that may serve requests with these home regions. */
  forService(service: ServiceName, homeRegions?: ReadonlySet<Region>): readonly PooledTarget[] {
    const targets = this.byService.get(service) ?? [];
    const {access} = this.deps;
    if (!access || !homeRegions) return targets;
    return targets.filter(({entry}) => access.isAtHome(entry, homeRegions));
  }

  all(): Iterable<PooledTarget> {
    return this.targets.values();
  }

  /** Sends a request to a target and counts it there until {@link PooledAttempt.finish}. */
  send(target: PooledTarget, request: OutgoingRequest, mayRepeat: boolean): PooledAttempt {
    const id = `a${this.attemptCount++}`;
    target.ownRequests++;
    recordHealthDispatch(target.health, id);
    const refusal = this.findRefusal(target, request);
    if (refusal) this.deps.metrics?.count('access_refusals_total', `reason="${refusal}"`);
    else target.gate?.recordSent(this.deps.clock.nowMs());
    const attempt = refusal
      ? target.connections.refuse(request, `target may not be sent to: ${refusal}`)
      : target.connections.send(request, mayRepeat);
    return new PooledAttempt(target, attempt, id, this.deps.clock, refusal !== undefined);
  }

  /** Number of targets whose requests are limited because they are cold. */
  countCold(): number {
    const nowMs = this.deps.clock.nowMs();
    let count = 0;
    for (const target of this.targets.values()) if (target.gate?.isCold(nowMs)) count++;
    return count;
  }

  /** Failure domains whose targets get no requests. */
  get evacuatedDomains(): ReadonlySet<FailureDomain> {
    return this.deps.access?.evacuatedDomains ?? new Set();
  }

  /** Applies a complete list of the evacuations. */
  applyEvacuations(list: EvacuationList): void {
    const {access, log} = this.deps;
    if (!access) return;
    const {started, ended} = access.applyEvacuations(list);
    for (const {failureDomain, acknowledgedMs} of started) {
      const targets = [...this.targets.values()].filter(
        ({entry}) => entry.failureDomain === failureDomain,
      );
      for (const {connections} of targets) connections.cancelOpening();
      const {era, revision} = list;
      const acknowledged = toIsoTime(acknowledgedMs);
      const fields = {domain: failureDomain, acknowledged, targets: targets.length, era, revision};
      log.write('evacuationStarted', fields);
    }
    for (const {failureDomain, acknowledgedMs, forMs} of ended) {
      const acknowledged = toIsoTime(acknowledgedMs);
      log.write('evacuationEnded', {domain: failureDomain, acknowledged, forMs: Math.round(forMs)});
    }
  }

  /** The last decision on a request: placements are older than the moment of sending. */
  private findRefusal(
    target: PooledTarget,
    {identity, cacheTarget, homeRegions}: OutgoingRequest,
  ): AccessRefusal | undefined {
    const {access, clock} = this.deps;
    const nowMs = clock.nowMs();
    for (const reached of [target, cacheTarget]) {
      if (reached && access?.isAtHome(reached.entry, homeRegions) === false) return 'outsideHome';
    }
    if (cacheTarget && isClosed(cacheTarget, nowMs)) return cacheTarget.gate?.findRefusal(nowMs);
    const refusal = target.gate?.findRefusal(nowMs);
    // Orders and releases are few and come from one host; only the rate of requests is limited.
    return refusal === 'cold' && !identity ? undefined : refusal;
  }

  /** Dates the time for which a target is cold by the moment at which this host read it. */
  private updateCold(
    target: PooledTarget,
    previous: TargetEntry | undefined,
    hasSynced: boolean,
  ): void {
    const {access, clock, log} = this.deps;
    const {entry} = target;
    const isSame =
      previous?.coldForMs === entry.coldForMs &&
      previous?.hasInvalidColdTime === entry.hasInvalidColdTime;
    if (!access || (previous && isSame)) return;
    const nowMs = clock.nowMs();
    const wasCold = nowMs < target.coldUntilMs;
    if (entry.hasInvalidColdTime && previous) return;
    const coldMs = access.findColdMs(entry, hasSynced && !previous);
    target.coldUntilMs = coldMs > 0 ? nowMs + coldMs : -Infinity;
    if (wasCold || !target.gate?.isCold(nowMs)) return;
    log.write('targetCold', {target: entry.id, forMs: Math.round(coldMs)});
  }

  /** Incarnations that leave, for the record of this host; those of others too if `sharesAll`. */
  listLeaving(sharesAll: boolean): string[] {
    return listShared(this.leaving, sharesAll, this.deps.clock.nowMs());
  }

  /** Records incarnations that have told another host that they leave. */
  applyLeaving(keys: readonly string[]): void {
    const isNew = keys.map(key => recordLeaving(this.leaving, key, false, this.deps.clock.nowMs()));
    if (!isNew.includes(true)) return;
    for (const target of this.targets.values()) {
      if (!target.entry.isDraining && isLeaving(this.leaving, target.entry)) {
        this.withdraw(target, false);
      }
    }
  }

  private add(entry: TargetEntry): PooledTarget {
    const {clock, codec} = this.deps;
    const observer = {
      readAnswer: codec.readAnswer.bind(codec),
      onAnswer: (status: number, meta: AnswerMeta) => this.recordAnswer(target, status, meta),
    };
    const target: PooledTarget = {
      ...createTargetState(entry, clock.nowMs()),
      connections: new TargetConnections(entry.address, clock, observer, this.readGate),
      runs: new Map(),
    };
    target.gate = this.deps.access?.createGate(target);
    this.targets.set(entry.id, target);
    return target;
  }

  /** Records what an answer says about its target. */
  private recordAnswer(target: PooledTarget, status: number, meta: AnswerMeta): void {
    // Targets that share their machines have the least room for new connections.
    if (meta.load?.slowdown !== undefined) target.connections.usesAnnouncedTimeout = true;
    if (meta.isLeaving) {
      const key = incarnationKey(target.entry);
      const isNew = recordLeaving(this.leaving, key, true, this.deps.clock.nowMs());
      if (!target.entry.isDraining) this.withdraw(target, true);
      if (isNew) this.deps.onLeaving?.();
    }
    const isRefusal = REFUSAL_STATUSES.has(status);
    if (isRefusal && (meta.retryAfterMs ?? meta.malformedRetryAfter) !== undefined) {
      this.recordPause(target, meta);
    }
  }

  private withdraw(target: PooledTarget, isOwn: boolean): void {
    target.entry = {...target.entry, isDraining: true};
    target.connections.retire();
    this.deps.log.write('targetLeaving', {target: target.entry.id, isOwn});
  }

  private recordPause(target: PooledTarget, {retryAfterMs, malformedRetryAfter}: AnswerMeta): void {
    const {clock, random, log} = this.deps;
    const nowMs = clock.nowMs();
    const wasBackingOff = nowMs < target.backoffUntilMs;
    if (retryAfterMs !== undefined) {
      const untilMs = backoffUntil(nowMs, retryAfterMs, random);
      target.backoffUntilMs = Math.max(target.backoffUntilMs, untilMs);
      excludeUntil(target.health, target.backoffUntilMs);
    }
    if (wasBackingOff) return;
    log.write('targetBackoff', {
      target: target.entry.id,
      retryAfterMs,
      malformed: malformedRetryAfter,
      forMs: retryAfterMs === undefined ? 0 : Math.round(target.backoffUntilMs - nowMs),
    });
  }
}

/** Formats a time of day in Unix milliseconds; undefined if it is unknown or out of range. */
function toIsoTime(unixMs: number | undefined): string | undefined {
  const date = new Date(unixMs ?? NaN);
  return Number.isNaN(date.getTime()) ? undefined : date.toISOString();
}

/** An attempt that counts towards the load of its target until it is finished. */
export class PooledAttempt {
  private isFinished = false;

  constructor(
    readonly target: PooledTarget,
    readonly attempt: Attempt,
    private readonly id: string,
    private readonly clock: Clock,
    /** Whether the request was refused by this host, which says nothing about the target. */
    private readonly isRefused: boolean,
  ) {}

  /** Records that the target has made progress with the request. */
  recordProgress(): void {
    recordHealthProgress(this.target.health);
  }

  /** Records that the target is silent; the attempt continues. */
  recordSilence(): void {
    this.recordOutcome('timeout');
  }

  /** Finishes the attempt and aborts it if it is still in progress. */
  finish(outcome: AttemptOutcome): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.target.ownRequests--;
    this.attempt.abort();
    this.recordOutcome(outcome);
  }

  private recordOutcome(outcome: AttemptOutcome): void {
    const nowMs = this.clock.nowMs();
    const recorded = this.isRefused ? 'cancelled' : outcome;
    recordHealthOutcome(this.target.health, this.id, recorded, nowMs, HEALTH_SETTINGS);
  }
}
