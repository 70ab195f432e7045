import {RequestId} from '@radishgw/core';
import {PromptPartId} from './model.js';

/** A run that was in progress at an engine when it crashed. */
export interface CrashedRun {
  readonly requestId: RequestId;
  /** Parts of its prompt but the last, without those that the reporting host knows to be sound. */
  readonly parts: readonly PromptPartId[];
}

/** A crash of an engine as one host saw it. */
export interface EngineCrash {
  /** Id and start time of the engine's process. */
  readonly incarnation: string;
  /** Time of the crash on the wall clock. */
  readonly atMs: number;
  readonly runs: readonly CrashedRun[];
}

/** The latest run with a part that ended whole at one host, on the wall clock. */
export interface SoundPart {
  readonly part: PromptPartId;
  readonly atMs: number;
}

/** What one host contributes to the decision. */
export interface CrashEvidence {
  readonly crashes: readonly EngineCrash[];
  readonly sound: readonly SoundPart[];
}

/** Checks evidence that was read from the store; throws a TypeError if it has another shape. */
export function parseEvidence(value: unknown): CrashEvidence {
  const {crashes, sound} = value as Partial<CrashEvidence>;
  const isRun = ({requestId, parts}: CrashedRun) =>
    typeof requestId === 'string' && Array.isArray(parts);
  const isCrash = ({incarnation, atMs, runs}: EngineCrash) =>
    typeof incarnation === 'string' && Number.isFinite(atMs) && runs.every(isRun);
  const isSound = ({part, atMs}: SoundPart) => typeof part === 'string' && Number.isFinite(atMs);
  if (!crashes!.every(isCrash) || !sound!.every(isSound)) {
    throw new TypeError('evidence on crashes is malformed');
  }
  return {crashes: crashes!, sound: sound!};
}

/** A set of prompt parts that crashes engines; requests that have all of them are refused. */
export interface Quarantine {
  readonly parts: readonly PromptPartId[];
  readonly crashCount: number;
  readonly lastCrashMs: number;
}

/** Time for which a run that ended whole speaks for the parts of its prompt. */
export const SOUND_MS = 60_000;

/** Time after the last crash until a request may try whether the engines have been mended. */
export const QUARANTINE_MS = 600_000;

/** Time for which a crash is remembered. */
export const EVIDENCE_MS = 3_600_000;

/** Number of crashes at distinct moments after which a part is taken to be their cause. */
const MIN_CRASHES = 4;

/** Engines that fail within this time may have failed together. */
const SAME_MOMENT_MS = 150;

/** Minimum number of requests, so that one unlucky request that is retried is no evidence. */
const MIN_REQUESTS = 3;

/** Maximum number of requests for each crash; a part with more is one that many prompts share. */
const MAX_REQUESTS_PER_CRASH = 4;

/** Key of a quarantine, the same on all hosts. */
export function quarantineKey({parts}: Quarantine): string {
  return [...parts].sort().join(' ');
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
  const quarantines: Quarantine[] = [];
  let unexplained = findSuspects(evidence, nowMs);
  for (;;) {
    const found = findStrongest(unexplained);
    if (!found) return quarantines;
    quarantines.push(found);
    unexplained = unexplained.filter(crash => !crash.runs.some(run => isCovered(found, run.parts)));
  }
}

/** Whether a quarantine applies to a request with these parts. */
export function isCovered({parts}: Quarantine, requestParts: readonly PromptPartId[]): boolean {
  return parts.every(part => requestParts.includes(part));
}

/**
 * Merges the reports of each crash and leaves out parts that are sound: a run with them has ended
 * whole after the crash or shortly before it.
 */
export function findSuspects(
  evidence: readonly CrashEvidence[],
  nowMs: number,
): readonly EngineCrash[] {
  const soundMs = new Map<PromptPartId, number>();
  for (const {part, atMs} of evidence.flatMap(({sound}) => sound)) {
    soundMs.set(part, Math.max(atMs, soundMs.get(part) ?? -Infinity));
  }
  const merged = new Map<string, EngineCrash>();
  for (const crash of evidence.flatMap(({crashes}) => crashes)) {
    if (nowMs - crash.atMs > EVIDENCE_MS) continue;
    const isSuspect = (part: PromptPartId) =>
      (soundMs.get(part) ?? -Infinity) < crash.atMs - SOUND_MS;
    const runs = crash.runs.map(run => ({...run, parts: run.parts.filter(isSuspect)}));
    const earlier = merged.get(crash.incarnation);
    merged.set(crash.incarnation, {
      incarnation: crash.incarnation,
      atMs: Math.min(crash.atMs, earlier?.atMs ?? Infinity),
      runs: [...(earlier?.runs ?? []), ...runs.filter(({parts}) => parts.length > 0)],
    });
  }
  return [...merged.values()]
    .filter(({runs}) => runs.length > 0)
    .sort((a, b) => a.atMs - b.atMs || (a.incarnation < b.incarnation ? -1 : 1));
}

/** Number of crashes in which each part is suspected. */
export function countSuspicions(
  suspects: readonly EngineCrash[],
): ReadonlyMap<PromptPartId, number> {
  const counts = new Map<PromptPartId, number>();
  for (const [part, crashes] of groupByPart(suspects)) counts.set(part, crashes.length);
  return counts;
}

function groupByPart(crashes: readonly EngineCrash[]): Map<PromptPartId, EngineCrash[]> {
  const groups = new Map<PromptPartId, EngineCrash[]>();
  for (const crash of crashes) {
    for (const part of new Set(crash.runs.flatMap(({parts}) => parts))) {
      const group = groups.get(part);
      if (group) group.push(crash);
      else groups.set(part, [crash]);
    }
  }
  return groups;
}

/** A part that may be the cause of crashes. */
interface Candidate {
  readonly part: PromptPartId;
  readonly crashes: readonly EngineCrash[];
  readonly requestsPerCrash: number;
}

/**
 * Finds the part with the fewest requests for each crash. The cause has about one, as each of its
 * requests crashes an engine; parts that happen to run there have many.
 */
function findStrongest(crashes: readonly EngineCrash[]): Quarantine | undefined {
  let best: Candidate | undefined;
  for (const [part, group] of groupByPart(crashes)) {
    const requestCount = countRequests(part, group);
    const requestsPerCrash = requestCount / group.length;
    if (countMoments(group) < MIN_CRASHES || requestCount < MIN_REQUESTS) continue;
    if (requestsPerCrash > MAX_REQUESTS_PER_CRASH) continue;
    const candidate = {part, crashes: group, requestsPerCrash};
    if (!best || compareCandidates(candidate, best) > 0) best = candidate;
  }
  if (!best) return undefined;
  const {part, crashes: group} = best;
  return {
    parts: findCommonParts(part, group),
    crashCount: group.length,
    lastCrashMs: Math.max(...group.map(({atMs}) => atMs)),
  };
}

/** Compares two candidates; positive if `a` is the more likely cause. */
function compareCandidates(a: Candidate, b: Candidate): number {
  return (
    b.requestsPerCrash - a.requestsPerCrash ||
    a.crashes.length - b.crashes.length ||
    (a.part < b.part ? 1 : -1)
  );
}

function countMoments(crashes: readonly EngineCrash[]): number {
  let count = 0;
  let lastMs = -Infinity;
  for (const {atMs} of crashes) {
    if (atMs - lastMs < SAME_MOMENT_MS) continue;
    lastMs = atMs;
    count++;
  }
  return count;
}

function countRequests(part: PromptPartId, crashes: readonly EngineCrash[]): number {
  const runs = crashes.flatMap(crash => crash.runs);
  return new Set(runs.filter(({parts}) => parts.includes(part)).map(run => run.requestId)).size;
}

/** The parts that accompany `part` in each of the crashes, and itself. */
function findCommonParts(
  part: PromptPartId,
  crashes: readonly EngineCrash[],
): readonly PromptPartId[] {
  let common: PromptPartId[] | undefined;
  for (const {runs} of crashes) {
    const companions = new Set(
      runs.filter(({parts}) => parts.includes(part)).flatMap(({parts}) => parts),
    );
    common = (common ?? [...companions]).filter(other => companions.has(other));
  }
  return (common ?? [part]).sort();
}
