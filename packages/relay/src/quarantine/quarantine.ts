import {RequestId} from '@radishgw/core';
import {PromptPartId} from '../model.js';
import {isRequestDigest, RequestDigest} from '../targets/run-identity.js';

/** What may be the cause of a crash: a part of a prompt, or a request as a whole. */
export type Suspect = PromptPartId | RequestDigest;

/** A run that was in progress at a target when it crashed. */
export interface CrashedRun {
  readonly requestId: RequestId;
  /** Time on the wall clock at which it was sent to the target. */
  readonly sentAtMs: number;
  /**
   * The digest of its request and the parts of its prompt but the last, without those that the
   * reporting host knows to be sound.
   */
  readonly suspects: readonly Suspect[];
}

/** A crash of a target as one host saw it. */
export interface TargetCrash {
  /** Id and start time of the target's process. */
  readonly incarnation: string;
  /** Time of the crash on the wall clock. */
  readonly atMs: number;
  readonly runs: readonly CrashedRun[];
}

/** The latest run with a suspect that ended whole at one host, on the wall clock. */
export interface SoundRun {
  readonly suspect: Suspect;
  readonly atMs: number;
}

/** What one host contributes to the decision. */
export interface CrashEvidence {
  readonly crashes: readonly TargetCrash[];
  readonly sound: readonly SoundRun[];
}

/** Checks evidence that was read from the store; throws a TypeError if it has another shape. */
export function parseEvidence(value: unknown): CrashEvidence {
  const {crashes, sound} = value as Partial<CrashEvidence>;
  const isText = (item: unknown) => typeof item === 'string';
  const isRun = ({requestId, sentAtMs, suspects}: CrashedRun) =>
    isText(requestId) && Number.isFinite(sentAtMs) && suspects.every(isText);
  const isCrash = ({incarnation, atMs, runs}: TargetCrash) =>
    typeof incarnation === 'string' && Number.isFinite(atMs) && runs.every(isRun);
  const isSound = ({suspect, atMs}: SoundRun) => isText(suspect) && Number.isFinite(atMs);
  if (!crashes!.every(isCrash) || !sound!.every(isSound)) {
    throw new TypeError('evidence on crashes is malformed');
  }
  return {crashes: crashes!, sound: sound!};
}

/**
 * Prompt parts that crash engines together, or the digest of a request that crashes its targets.
 * Requests that have all of them are refused.
 */
export interface Quarantine {
  readonly suspects: readonly Suspect[];
  readonly crashCount: number;
  readonly firstCrashMs: number;
  readonly lastCrashMs: number;
}

/** Time for which a run that ended whole speaks for the parts of its prompt. */
export const SOUND_MS = 60_000;

/**
 * Time for which a run that ended whole speaks for its request: it covers targets that fail one
 * after the other for another reason, and is over soon if the request has begun to crash them.
 */
export const SOUND_REQUEST_MS = 10_000;

/** Time after the last crash until a request may try whether the targets have been mended. */
export const QUARANTINE_MS = 600_000;

/**
 * The same for a request whose crashes all fall into one such time: targets that failed one after
 * the other for another reason would look alike.
 */
export const BRIEF_QUARANTINE_MS = 10_000;

/** Time for which a crash is remembered. */
export const EVIDENCE_MS = 3_600_000;

/** Number of crashes at distinct moments after which a part is taken to be their cause. */
const MIN_CRASHES = 4;

/** Number of crashes at distinct moments after which a request is taken to be their cause. */
const MIN_REQUEST_CRASHES = 3;

/**
 * Number of crashes after which a request is taken to be their cause also if they fall together: it
 * may come to many hosts at once.
 */
const MIN_SIMULTANEOUS_CRASHES = 4;

/** Targets that fail within this time may have failed together. */
const SAME_MOMENT_MS = 150;

/** Minimum number of requests, so that one unlucky request that is retried is no evidence. */
const MIN_REQUESTS = 3;

/** Maximum number of requests for each crash; a part with more is one that many prompts share. */
const MAX_REQUESTS_PER_CRASH = 4;

/** Key of a quarantine, the same on all hosts. */
export function quarantineKey({suspects}: Quarantine): string {
  return [...suspects].sort().join(' ');
}

/** Time after its last crash until a request may try whether a quarantine is still needed. */
export function quarantineMs({suspects, firstCrashMs, lastCrashMs}: Quarantine): number {
  const isBrief = lastCrashMs - firstCrashMs < BRIEF_QUARANTINE_MS;
  return isBrief && suspects.every(isRequestDigest) ? BRIEF_QUARANTINE_MS : QUARANTINE_MS;
}

/** The parts that may be quarantined; the last one belongs to a single request or session. */
export function sharedPartIds(
  parts: readonly {readonly id: PromptPartId}[],
): readonly PromptPartId[] {
  return [...new Set(parts.slice(0, -1).map(({id}) => id))];
}

/** Returns the quarantines that follow from the evidence of all hosts, strongest first. */
export function decideQuarantines(
  evidence: readonly CrashEvidence[],
  nowMs: number,
): readonly Quarantine[] {
  const suspected = findSuspects(evidence, nowMs);
  return [...findBadParts(suspected), ...findBadRequests(suspected)];
}

/** Finds parts of prompts; crashes that a set of parts explains don't count against others. */
function findBadParts(suspected: readonly TargetCrash[]): readonly Quarantine[] {
  const quarantines: Quarantine[] = [];
  let unexplained = suspected;
  for (;;) {
    const found = findStrongest(unexplained);
    if (!found) return quarantines;
    quarantines.push(found);
    unexplained = unexplained.filter(
      crash => !crash.runs.some(run => isCovered(found, run.suspects)),
    );
  }
}

/**
 * Finds requests that crash targets. Each is judged by itself: several that come at once share many
 * of their crashes.
 */
function findBadRequests(suspected: readonly TargetCrash[]): readonly Quarantine[] {
  const quarantines: Quarantine[] = [];
  for (const [suspect, crashes] of groupBySuspect(suspected)) {
    if (!isRequestDigest(suspect)) continue;
    const isSpread = countMoments(crashes, suspect) >= MIN_REQUEST_CRASHES;
    if (!isSpread && crashes.length < MIN_SIMULTANEOUS_CRASHES) continue;
    quarantines.push(createQuarantine([suspect], crashes));
  }
  return quarantines;
}

function createQuarantine(
  suspects: readonly Suspect[],
  crashes: readonly TargetCrash[],
): Quarantine {
  const times = crashes.map(({atMs}) => atMs);
  return {
    suspects,
    crashCount: crashes.length,
    firstCrashMs: Math.min(...times),
    lastCrashMs: Math.max(...times),
  };
}

/** Whether a quarantine applies to a request with these parts and this digest. */
export function isCovered({suspects}: Quarantine, ofRequest: readonly Suspect[]): boolean {
  return suspects.every(suspect => ofRequest.includes(suspect));
}

/**
 * Merges the reports of each crash and leaves out suspects that are sound: a run with them has ended
 * whole after the crash or shortly before it.
 */
export function findSuspects(
  evidence: readonly CrashEvidence[],
  nowMs: number,
): readonly TargetCrash[] {
  const soundMs = new Map<Suspect, number>();
  for (const {suspect, atMs} of evidence.flatMap(({sound}) => sound)) {
    soundMs.set(suspect, Math.max(atMs, soundMs.get(suspect) ?? -Infinity));
  }
  const merged = new Map<string, TargetCrash>();
  for (const crash of evidence.flatMap(({crashes}) => crashes)) {
    if (nowMs - crash.atMs > EVIDENCE_MS) continue;
    const isSuspect = (suspect: Suspect) =>
      (soundMs.get(suspect) ?? -Infinity) < crash.atMs - soundForMs(suspect);
    const runs = crash.runs.map(run => ({...run, suspects: run.suspects.filter(isSuspect)}));
    const earlier = merged.get(crash.incarnation);
    merged.set(crash.incarnation, {
      incarnation: crash.incarnation,
      atMs: Math.min(crash.atMs, earlier?.atMs ?? Infinity),
      runs: [...(earlier?.runs ?? []), ...runs.filter(({suspects}) => suspects.length > 0)],
    });
  }
  return [...merged.values()]
    .filter(({runs}) => runs.length > 0)
    .sort((a, b) => a.atMs - b.atMs || (a.incarnation < b.incarnation ? -1 : 1));
}

/** Time for which a run that ended whole speaks for one of its suspects. */
export function soundForMs(suspect: Suspect): number {
  return isRequestDigest(suspect) ? SOUND_REQUEST_MS : SOUND_MS;
}

/** Number of crashes in which each suspect was running. */
export function countSuspicions(suspected: readonly TargetCrash[]): ReadonlyMap<Suspect, number> {
  const counts = new Map<Suspect, number>();
  for (const [suspect, crashes] of groupBySuspect(suspected)) counts.set(suspect, crashes.length);
  return counts;
}

function groupBySuspect(crashes: readonly TargetCrash[]): Map<Suspect, TargetCrash[]> {
  const groups = new Map<Suspect, TargetCrash[]>();
  for (const crash of crashes) {
    for (const suspect of new Set(crash.runs.flatMap(({suspects}) => suspects))) {
      const group = groups.get(suspect);
      if (group) group.push(crash);
      else groups.set(suspect, [crash]);
    }
  }
  return groups;
}

/** A part that may be the cause of crashes. */
interface Candidate {
  readonly part: PromptPartId;
  readonly crashes: readonly TargetCrash[];
  readonly requestsPerCrash: number;
}

/**
 * Finds the part with the fewest requests for each crash. The cause has about one, as each of its
 * requests crashes an engine; parts that happen to run there have many.
 */
function findStrongest(crashes: readonly TargetCrash[]): Quarantine | undefined {
  let best: Candidate | undefined;
  for (const [part, group] of groupBySuspect(crashes)) {
    if (isRequestDigest(part)) continue;
    const requestCount = countRequests(part, group);
    const requestsPerCrash = requestCount / group.length;
    if (countMoments(group) < MIN_CRASHES || requestCount < MIN_REQUESTS) continue;
    if (requestsPerCrash > MAX_REQUESTS_PER_CRASH) continue;
    const candidate = {part, crashes: group, requestsPerCrash};
    if (!best || compareCandidates(candidate, best) > 0) best = candidate;
  }
  if (!best) return undefined;
  const {part, crashes: group} = best;
  return createQuarantine(findCommonParts(part, group), group);
}

/** Compares two candidates; positive if `a` is the more likely cause. */
function compareCandidates(a: Candidate, b: Candidate): number {
  return (
    b.requestsPerCrash - a.requestsPerCrash ||
    a.crashes.length - b.crashes.length ||
    (a.part < b.part ? 1 : -1)
  );
}

/**
 * Number of crashes at distinct moments. A run of `repeated` that was sent after the crash before
 * makes a moment of its own, however soon it followed.
 */
function countMoments(crashes: readonly TargetCrash[], repeated?: Suspect): number {
  let count = 0;
  let lastMs = -Infinity;
  for (const {atMs, runs} of crashes) {
    const isLater = runs.some(
      run => run.sentAtMs >= lastMs && run.suspects.some(suspect => suspect === repeated),
    );
    if (atMs - lastMs < SAME_MOMENT_MS && !isLater) continue;
    lastMs = atMs;
    count++;
  }
  return count;
}

function countRequests(part: PromptPartId, crashes: readonly TargetCrash[]): number {
  const runs = crashes.flatMap(crash => crash.runs);
  return new Set(runs.filter(({suspects}) => suspects.includes(part)).map(run => run.requestId))
    .size;
}

/** The parts that accompany `part` in each of the crashes, and itself. */
function findCommonParts(part: PromptPartId, crashes: readonly TargetCrash[]): readonly Suspect[] {
  let common: Suspect[] | undefined;
  for (const {runs} of crashes) {
    const companions = new Set<Suspect>(
      runs
        .filter(({suspects}) => suspects.includes(part))
        .flatMap(({suspects}) => suspects.filter(suspect => !isRequestDigest(suspect))),
    );
    common = (common ?? [...companions]).filter(other => companions.has(other));
  }
  return (common ?? [part]).sort();
}
