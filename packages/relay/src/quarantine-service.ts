import {call, Clock, EventLog, HostId, Procedure, RequestId, sleep} from '@radishgw/core';
import {PlatformAnswer} from '@radishgw/coordination';
import {ObservedCrash} from './crash-monitor.js';
import {RelayMetrics} from './metrics.js';
import {PromptPartId} from './model.js';
import {
  countSuspicions,
  CrashEvidence,
  decideQuarantines,
  EngineCrash,
  EVIDENCE_MS,
  findSuspects,
  isCovered,
  Quarantine,
  QUARANTINE_MS,
  quarantineKey,
  SOUND_MS,
  SoundPart,
} from './prompt-quarantine.js';
import {rankByKey} from './rendezvous.js';

/** Maximum number of parts whose latest whole run is remembered. */
const MAX_SOUND_PARTS = 8192;

/** Maximum number of crashes that a host reports, newest first. */
const MAX_CRASHES = 16;

/** Maximum number of runs of one crash that a host reports; the latest are the most likely cause. */
const MAX_RUNS = 16;

/** Maximum number of parts of one run that a host reports. */
const MAX_PARTS = 8;

/** Maximum number of sound parts that a host reports, newest first. */
const MAX_REPORTED_SOUND = 256;

/** A whole run is reported again only if it is newer than the reported one by this much. */
const SOUND_RENEWAL_MS = SOUND_MS / 2;

/** Minimum time between writes of a host's evidence. */
const WRITE_INTERVAL_MS = 300;

/** Time for which evidence of this host may be missing from reads that were sent before its write. */
const READ_DELAY_MS = 5000;

/** What is decided about a request by the parts of its prompt. */
export type Admission =
  | {readonly type: 'allowed'}
  | {readonly type: 'refused'; readonly quarantine: Quarantine}
  /** The request tries whether the engines have been mended; it has one attempt. */
  | {readonly type: 'probe'; readonly quarantine: Quarantine};

/** Dependencies of {@link QuarantineService}. */
export interface QuarantineDependencies {
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: RelayMetrics;
  /** Time of day in milliseconds since the Unix epoch, as the hosts agree on it. */
  fleetNowMs(): number;
  write(evidence: CrashEvidence): PlatformAnswer<number>;
  /** Hosts that take requests. */
  listHosts(): readonly HostId[];
}

const ALLOWED: Admission = {type: 'allowed'};

/** Pools crashes of engines with the other hosts and decides which prompts may run. */
export class QuarantineService {
  /** Time of the latest whole run with a part, oldest first. */
  private readonly soundMs = new Map<PromptPartId, number>();
  private own: CrashEvidence = {crashes: [], sound: []};
  private others: ReadonlyMap<HostId, CrashEvidence> = new Map();
  private quarantines: readonly Quarantine[] = [];
  private suspicions: ReadonlyMap<PromptPartId, number> = new Map();
  /** Request that probes a quarantine, by its key. */
  private readonly probes = new Map<string, RequestId>();
  private knownKeys = new Set<string>();
  private hasRead = false;
  private isDirty = false;
  /** Until this time, evidence that is missing from the store doesn't count as removed. */
  private keepUntilMs = -Infinity;

  constructor(private readonly deps: QuarantineDependencies) {}

  get count(): number {
    return this.quarantines.length;
  }

  /** Decides whether a request may run at an engine. */
  admit(requestId: RequestId, parts: readonly PromptPartId[]): Admission {
    if (this.quarantines.length === 0) return ALLOWED;
    const quarantine = this.quarantines.find(entry => isCovered(entry, parts));
    if (!quarantine) return ALLOWED;
    const key = quarantineKey(quarantine);
    if (this.probes.get(key) === requestId) return {type: 'probe', quarantine};
    const isOver = this.wallMs() - quarantine.lastCrashMs >= QUARANTINE_MS;
    if (!isOver || this.probes.has(key) || !this.isProber(key)) {
      return {type: 'refused', quarantine};
    }
    this.probes.set(key, requestId);
    this.deps.log.write('promptProbed', {request: requestId, parts: quarantine.parts});
    return {type: 'probe', quarantine};
  }

  /** Called when a request that {@link admit} has let through is over. */
  release(requestId: RequestId): void {
    for (const [key, probe] of this.probes) if (probe === requestId) this.probes.delete(key);
  }

  /** Whether a prompt has parts without a whole run on this host within the last minute. */
  hasSuspects(parts: readonly PromptPartId[]): boolean {
    return this.listSuspects(parts).length > 0;
  }

  /** Highest number of crashes in which a part of the prompt is suspected. */
  suspicionOf(parts: readonly PromptPartId[]): number {
    return Math.max(0, ...this.listSuspects(parts).map(part => this.suspicions.get(part) ?? 0));
  }

  /** Records a run that ended whole at an engine that has not crashed. */
  recordWhole(parts: readonly PromptPartId[]): void {
    const nowMs = this.wallMs();
    let isNews = false;
    for (const part of parts) {
      this.soundMs.delete(part);
      this.soundMs.set(part, nowMs);
      isNews ||= this.suspicions.has(part);
    }
    for (const part of this.soundMs.keys()) {
      if (this.soundMs.size <= MAX_SOUND_PARTS) break;
      this.soundMs.delete(part);
    }
    if (isNews) this.reportSound();
  }

  /** Records a crash of an engine, unless the prompts that ran there are known to be sound. */
  recordCrash({target, runs}: ObservedCrash): void {
    const suspectRuns = runs
      .map(({identity}) => ({
        requestId: identity.requestId,
        parts: this.listSuspects(identity.sharedParts).slice(0, MAX_PARTS),
      }))
      .filter(({parts}) => parts.length > 0)
      .slice(-MAX_RUNS);
    if (suspectRuns.length === 0) return;
    const {id, bornMs} = target.entry;
    const incarnation = `${id}/${bornMs ?? ''}`;
    const crash: EngineCrash = {incarnation, atMs: this.wallMs(), runs: suspectRuns};
    this.own = {...this.own, crashes: [...this.own.crashes, crash].slice(-MAX_CRASHES)};
    this.isDirty = true;
    this.decide();
  }

  /** Applies a read of the evidence of all hosts, by host. */
  applyEvidence(evidence: ReadonlyMap<HostId, CrashEvidence>): void {
    const {hostId} = this.deps;
    const stored = evidence.get(hostId) ?? {crashes: [], sound: []};
    const isKept = this.deps.clock.nowMs() < this.keepUntilMs;
    const others = new Map([...evidence].filter(([id]) => id !== hostId));
    if (isKept) for (const [id, entry] of this.others) others.set(id, merge(entry, others.get(id)));
    this.others = others;
    // What operators have removed from the store is removed here as well.
    const isRecent = ({atMs}: {readonly atMs: number}) =>
      this.isDirty || isKept || this.wallMs() - atMs < READ_DELAY_MS;
    this.own = merge(stored, {
      crashes: this.own.crashes.filter(isRecent),
      sound: this.own.sound.filter(isRecent),
    });
    this.hasRead = true;
    this.decide();
    this.reportSound();
  }

  /** Writes the evidence again that an older copy of the store may lack. */
  restore(): void {
    this.isDirty = true;
    this.keepUntilMs = this.deps.clock.nowMs() + READ_DELAY_MS;
  }

  /** Writes this host's evidence whenever it has changed, until cancelled. */
  *run(): Procedure<void> {
    for (;;) {
      yield* sleep(WRITE_INTERVAL_MS);
      // A write before the first read would replace what this host knew before its restart.
      if (!this.isDirty || !this.hasRead) continue;
      this.isDirty = false;
      const answer = yield* call(() => this.deps.write(this.own));
      if (answer.err) this.isDirty = true;
    }
  }

  private wallMs(): number {
    return this.deps.fleetNowMs();
  }

  private listSuspects(parts: readonly PromptPartId[]): readonly PromptPartId[] {
    const sinceMs = this.wallMs() - SOUND_MS;
    return parts.filter(part => (this.soundMs.get(part) ?? -Infinity) < sinceMs);
  }

  /** Reports whole runs with parts that are suspected by some host. */
  private reportSound(): void {
    const reported = new Map(this.own.sound.map(({part, atMs}) => [part, atMs]));
    let hasChanged = false;
    for (const part of this.suspicions.keys()) {
      const atMs = this.soundMs.get(part);
      if (atMs === undefined || atMs - (reported.get(part) ?? -Infinity) < SOUND_RENEWAL_MS) {
        continue;
      }
      reported.set(part, atMs);
      hasChanged = true;
    }
    if (!hasChanged) return;
    const evidence = [this.own, ...this.others.values()];
    const crashes = evidence.flatMap(entry => entry.crashes);
    const runs = crashes.flatMap(crash => crash.runs);
    const crashParts = new Set(runs.flatMap(({parts}) => parts));
    const sound: SoundPart[] = [...reported]
      .filter(([part]) => crashParts.has(part))
      .map(([part, atMs]) => ({part, atMs}));
    sound.sort((a, b) => a.atMs - b.atMs);
    this.own = {...this.own, sound: sound.slice(-MAX_REPORTED_SOUND)};
    this.isDirty = true;
    this.decide();
  }

  private decide(): void {
    const nowMs = this.wallMs();
    const evidence = [this.own, ...this.others.values()];
    if (evidence.every(({crashes}) => crashes.length === 0) && this.quarantines.length === 0) {
      this.suspicions = new Map();
      return;
    }
    this.quarantines = decideQuarantines(evidence, nowMs);
    this.suspicions = countSuspicions(findSuspects(evidence, nowMs));
    this.logChanges();
  }

  private logChanges(): void {
    const {log, metrics} = this.deps;
    const keys = new Set(this.quarantines.map(quarantineKey));
    for (const quarantine of this.quarantines) {
      if (this.knownKeys.has(quarantineKey(quarantine))) continue;
      metrics.count('prompt_quarantines_total');
      log.write('promptQuarantined', {...quarantine});
    }
    for (const key of this.knownKeys) {
      if (!keys.has(key)) log.write('promptQuarantineEnded', {parts: key.split(' ')});
    }
    this.knownKeys = keys;
  }

  private isProber(key: string): boolean {
    const hosts = this.deps.listHosts().map(id => ({id, weight: 1}));
    return rankByKey(key, hosts)[0] === this.deps.hostId;
  }
}

/** Whether all evidence of a host has expired. */
export function hasExpired({crashes, sound}: CrashEvidence, nowMs: number): boolean {
  return [...crashes, ...sound].every(({atMs}) => nowMs - atMs > EVIDENCE_MS);
}

/** Merges two states of the evidence of one host; what the second one says goes before. */
function merge(
  first: CrashEvidence,
  second: CrashEvidence = {crashes: [], sound: []},
): CrashEvidence {
  const crashes = mergeBy(first.crashes, second.crashes, crash => crash.incarnation);
  return {
    crashes: crashes.slice(-MAX_CRASHES),
    sound: mergeBy(first.sound, second.sound, ({part}) => part),
  };
}

/** Merges two lists; the entries of the second one replace those with the same key. */
function mergeBy<T>(first: readonly T[], second: readonly T[], keyOf: (item: T) => string): T[] {
  const merged = new Map<string, T>();
  for (const item of [...first, ...second]) merged.set(keyOf(item), item);
  return [...merged.values()];
}
