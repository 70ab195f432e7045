import {
  boundId,
  call,
  Clock,
  EventLog,
  HostId,
  LogEventName,
  Procedure,
  RequestId,
  sleep,
} from '@radishgw/core';
import {PlatformAnswer} from '@radishgw/coordination';
import {ObservedCrash} from './crash-monitor.js';
import {RelayMetrics} from '../metrics.js';
import {
  countSuspicions,
  CrashedRun,
  CrashEvidence,
  decideQuarantines,
  EVIDENCE_MS,
  findSuspects,
  isCovered,
  Quarantine,
  quarantineKey,
  quarantineMs,
  soundForMs,
  SoundRun,
  Suspect,
  TargetCrash,
} from './quarantine.js';
import {RecentRequests} from './recent-requests.js';
import {rankByKey} from '../rendezvous.js';
import {bodyBytesOf, isRequestDigest, RunIdentity} from '../targets/run-identity.js';

/** Maximum number of suspects whose latest whole run is remembered. */
const MAX_SOUND_SUSPECTS = 8192;

/** Maximum number of runs that a host reports, over all crashes. */
const MAX_REPORTED_RUNS = 256;

/** Maximum number of runs of one crash that a host reports; the latest are the most likely cause. */
const MAX_RUNS = 16;

/** Maximum number of parts of one run that a host reports. */
const MAX_PARTS = 8;

/**
 * Time after which more hosts may probe a quarantine, as its requests may not come to the first ones.
 * All hosts have heard of a crash by then.
 */
const PROBER_INTERVAL_MS = 3000;

/** Maximum number of sound suspects that a host reports, newest first. */
const MAX_REPORTED_SOUND = 256;

/** Share of the time for which a whole run speaks after which a newer one is reported. */
const SOUND_RENEWAL_SHARE = 0.5;

/** Minimum time between writes of a host's evidence. */
const WRITE_INTERVAL_MS = 300;

/** Time for which evidence of this host may be missing from reads that were sent before its write. */
const READ_DELAY_MS = 5000;

/** What is decided about a request by the parts of its prompt and by its digest. */
export type Admission =
  | {readonly type: 'allowed'}
  | {readonly type: 'refused'; readonly quarantine: Quarantine}
  /** The request tries whether the targets have been mended; it isn't sent on after a crash. */
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

/** What a quarantine refuses: prompts with certain parts, or repeats of one request. */
export type QuarantineKind = 'prompt' | 'request';

/** Log events by kind of quarantine. */
const EVENTS = {
  prompt: {
    begun: 'promptQuarantined',
    ended: 'promptQuarantineEnded',
    probed: 'promptProbed',
  },
  request: {
    begun: 'requestQuarantined',
    ended: 'requestQuarantineEnded',
    probed: 'requestProbed',
  },
} as const satisfies Record<QuarantineKind, Record<string, LogEventName>>;

function kindOf(suspects: readonly string[]): QuarantineKind {
  return suspects.every(isRequestDigest) ? 'request' : 'prompt';
}

/** Pools crashes of targets with the other hosts and decides which requests may run. */
export class QuarantineService {
  /** Time of the latest whole run with a suspect, oldest first. */
  private readonly soundMs = new Map<Suspect, number>();
  private readonly recent = new RecentRequests();
  private own: CrashEvidence = {crashes: [], sound: []};
  private others: ReadonlyMap<HostId, CrashEvidence> = new Map();
  private quarantines: readonly Quarantine[] = [];
  private suspicions: ReadonlyMap<Suspect, number> = new Map();
  /** Sizes of the bodies of suspected requests; no request of another size is one of them. */
  private suspectedBodyBytes: ReadonlySet<number> = new Set();
  /** Request that probes a quarantine, by its key. */
  private readonly probes = new Map<string, RequestId>();
  private knownKeys = new Set<string>();
  private hasRead = false;
  private isDirty = false;
  /** Until this time, evidence that is missing from the store doesn't count as removed. */
  private keepUntilMs = -Infinity;

  constructor(private readonly deps: QuarantineDependencies) {}

  /** Number of quarantines in force, by kind. */
  countByKind(): Readonly<Record<QuarantineKind, number>> {
    const counts = {prompt: 0, request: 0};
    for (const {suspects} of this.quarantines) counts[kindOf(suspects)]++;
    return counts;
  }

  /** Decides whether a request may run at a target. */
  admit(run: RunIdentity): Admission {
    if (this.quarantines.length === 0) return ALLOWED;
    const suspects = this.identify(run);
    const quarantine = this.quarantines.find(entry => isCovered(entry, suspects));
    if (!quarantine) return ALLOWED;
    const {requestId} = run;
    const key = quarantineKey(quarantine);
    if (this.probes.get(key) === requestId) return {type: 'probe', quarantine};
    const overMs = this.wallMs() - quarantine.lastCrashMs - quarantineMs(quarantine);
    if (overMs < 0 || this.probes.has(key) || !this.isProber(key, overMs)) {
      return {type: 'refused', quarantine};
    }
    this.probes.set(key, requestId);
    const {probed} = EVENTS[kindOf(quarantine.suspects)];
    this.deps.log.write(probed, {request: requestId, suspects: quarantine.suspects});
    return {type: 'probe', quarantine};
  }

  /** Called when a request that {@link admit} has let through is over. */
  release(requestId: RequestId): void {
    for (const [key, probe] of this.probes) if (probe === requestId) this.probes.delete(key);
  }

  /** Whether a run is suspected, or has prompt parts without a recent whole run on this host. */
  hasSuspects(run: RunIdentity): boolean {
    return this.listUnproven(run.sharedParts).length > 0 || this.suspicionOf(run) > 0;
  }

  /** Whether the run's digest or a part of its prompt has no recent whole run on this host. */
  isUnproven({sharedParts, fingerprint}: RunIdentity): boolean {
    return this.listUnproven([...sharedParts, fingerprint.digest]).length > 0;
  }

  /** Highest number of crashes in which a suspect of the run was running. */
  suspicionOf(run: RunIdentity): number {
    if (this.suspicions.size === 0) return 0;
    const suspects = this.listUnproven(this.identify(run));
    return Math.max(0, ...suspects.map(suspect => this.suspicions.get(suspect) ?? 0));
  }

  /** Records a run that ended whole at a target that has not crashed. */
  recordWhole(run: RunIdentity): void {
    const nowMs = this.wallMs();
    this.recent.add(run.fingerprint, nowMs);
    let isNews = false;
    for (const suspect of this.identify(run)) {
      // Requests that nobody suspects would push parts of prompts out.
      if (isRequestDigest(suspect) && !this.suspicions.has(suspect)) continue;
      this.soundMs.delete(suspect);
      this.soundMs.set(suspect, nowMs);
      isNews ||= this.suspicions.has(suspect);
    }
    for (const suspect of this.soundMs.keys()) {
      if (this.soundMs.size <= MAX_SOUND_SUSPECTS) break;
      this.soundMs.delete(suspect);
    }
    if (isNews) this.reportSound();
  }

  /** Records a crash of a target, unless all that ran there is known to be sound. */
  recordCrash({target, lostMs, runs}: ObservedCrash): void {
    const wallMsOf = (monotonicMs: number) =>
      this.wallMs() - (this.deps.clock.nowMs() - monotonicMs);
    const suspectRuns = runs
      .map(({identity: {requestId, sharedParts, fingerprint}, sentMs}) => ({
        requestId: boundId(requestId),
        sentAtMs: wallMsOf(sentMs),
        suspects: [
          ...this.listUnproven([fingerprint.digest]),
          ...this.listUnproven(sharedParts).slice(0, MAX_PARTS),
        ],
      }))
      .filter(({suspects}) => suspects.length > 0)
      .slice(-MAX_RUNS);
    if (suspectRuns.length === 0) return;
    const {id, bornMs} = target.entry;
    const incarnation = `${id}/${bornMs ?? ''}`;
    const crash: TargetCrash = {incarnation, atMs: wallMsOf(lostMs), runs: suspectRuns};
    this.own = {...this.own, crashes: this.limitCrashes([...this.own.crashes, crash])};
    this.isDirty = true;
    this.decide();
    this.reportSound();
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
    const own = merge(stored, {
      crashes: this.own.crashes.filter(isRecent),
      sound: this.own.sound.filter(isRecent),
    });
    this.own = {...own, crashes: this.limitCrashes(own.crashes)};
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

  /** The parts of a run's prompt, and its digest if any suspected request has a body of its size. */
  private identify({sharedParts, fingerprint}: RunIdentity): readonly Suspect[] {
    if (!this.suspectedBodyBytes.has(fingerprint.bodyBytes)) return sharedParts;
    return [...sharedParts, fingerprint.digest];
  }

  /** The suspects without a whole run on this host that still speaks for them. */
  private listUnproven(suspects: readonly Suspect[]): readonly Suspect[] {
    const nowMs = this.wallMs();
    return suspects.filter(suspect => this.wholeMs(suspect) < nowMs - soundForMs(suspect));
  }

  /** Time of the latest whole run with a suspect on this host; -Infinity if there was none. */
  private wholeMs(suspect: Suspect): number {
    const knownMs = this.soundMs.get(suspect) ?? -Infinity;
    if (!isRequestDigest(suspect)) return knownMs;
    return Math.max(knownMs, this.recent.find(suspect) ?? -Infinity);
  }

  /**
   * Keeps the reported runs within their bound. Runs whose suspects stand in no other crash of any
   * host go first, from the oldest crashes, then the oldest crashes.
   */
  private limitCrashes(crashes: readonly TargetCrash[]): readonly TargetCrash[] {
    let kept = [...crashes].sort((a, b) => a.atMs - b.atMs);
    let excess = kept.reduce((sum, {runs}) => sum + runs.length, 0) - MAX_REPORTED_RUNS;
    const isRepeated = ({suspects}: CrashedRun) =>
      suspects.some(suspect => (this.suspicions.get(suspect) ?? 0) > 1);
    kept = kept.map(crash => {
      if (excess <= 0) return crash;
      const runs = crash.runs.filter(isRepeated);
      excess -= crash.runs.length - runs.length;
      return {...crash, runs};
    });
    kept = kept.filter(({runs}) => runs.length > 0);
    while (excess > 0) excess -= kept.shift()!.runs.length;
    return kept;
  }

  /** Reports whole runs of what is suspected by some host. */
  private reportSound(): void {
    const reported = new Map(this.own.sound.map(({suspect, atMs}) => [suspect, atMs]));
    let hasChanged = false;
    for (const suspect of this.suspicions.keys()) {
      const atMs = this.wholeMs(suspect);
      const renewalMs = soundForMs(suspect) * SOUND_RENEWAL_SHARE;
      if (atMs === -Infinity || atMs - (reported.get(suspect) ?? -Infinity) < renewalMs) continue;
      reported.set(suspect, atMs);
      hasChanged = true;
    }
    if (!hasChanged) return;
    const evidence = [this.own, ...this.others.values()];
    const crashes = evidence.flatMap(entry => entry.crashes);
    const runs = crashes.flatMap(crash => crash.runs);
    const suspected = new Set(runs.flatMap(({suspects}) => suspects));
    const sound: SoundRun[] = [...reported]
      .filter(([suspect]) => suspected.has(suspect))
      .map(([suspect, atMs]) => ({suspect, atMs}));
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
      this.suspectedBodyBytes = new Set();
      this.recent.clearIndex();
      return;
    }
    this.quarantines = decideQuarantines(evidence, nowMs);
    this.suspicions = countSuspicions(findSuspects(evidence, nowMs));
    const digests = [...this.suspicions.keys()].filter(isRequestDigest);
    this.suspectedBodyBytes = new Set(digests.map(bodyBytesOf));
    if (digests.length === 0) this.recent.clearIndex();
    this.logChanges();
  }

  private logChanges(): void {
    const {log, metrics} = this.deps;
    const keys = new Set(this.quarantines.map(quarantineKey));
    for (const quarantine of this.quarantines) {
      if (this.knownKeys.has(quarantineKey(quarantine))) continue;
      const kind = kindOf(quarantine.suspects);
      metrics.count('quarantines_total', `kind="${kind}"`);
      log.write(EVENTS[kind].begun, {...quarantine});
    }
    for (const key of this.knownKeys) {
      if (keys.has(key)) continue;
      const suspects = key.split(' ');
      log.write(EVENTS[kindOf(suspects)].ended, {suspects});
    }
    this.knownKeys = keys;
  }

  /** Whether this host may probe: one at first, then twice as many with each interval. */
  private isProber(key: string, overMs: number): boolean {
    const hosts = this.deps.listHosts().map(id => ({id, weight: 1}));
    const probers = 2 ** Math.floor(overMs / PROBER_INTERVAL_MS);
    return rankByKey(key, hosts).slice(0, probers).includes(this.deps.hostId);
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
  return {
    crashes: mergeBy(first.crashes, second.crashes, crash => crash.incarnation),
    sound: mergeBy(first.sound, second.sound, ({suspect}) => suspect),
  };
}

/** Merges two lists; the entries of the second one replace those with the same key. */
function mergeBy<T>(first: readonly T[], second: readonly T[], keyOf: (item: T) => string): T[] {
  const merged = new Map<string, T>();
  for (const item of [...first, ...second]) merged.set(keyOf(item), item);
  return [...merged.values()];
}
