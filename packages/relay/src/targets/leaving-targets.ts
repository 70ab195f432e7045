import {TargetEntry} from '../model.js';

/** Time for which a target that leaves is remembered; it is long gone then. */
const MEMORY_MS = 600_000;

/** Time for which a host tells the others that it has heard from a target that it leaves. */
const SHARED_MS = 60_000;

/** Maximum number of targets that are remembered; the oldest are dropped. */
const MAX_REMEMBERED = 2000;

/** Identifies one incarnation of a target; a restarted process is another one. */
export function incarnationKey({id, bornMs, address}: TargetEntry): string {
  return `${id} ${bornMs ?? ''} ${address}`;
}

interface Announcement {
  readonly heardMs: number;
  /** Whether the target told this host itself. */
  readonly isOwn: boolean;
}

/**
 * Incarnations of targets that have said in an answer that they leave. What a target says itself is
 * newer than its entry in the store, and it never takes that back.
 */
export interface LeavingTargets {
  readonly announcements: Map<string, Announcement>;
}

export function createLeavingTargets(): LeavingTargets {
  return {announcements: new Map()};
}

/** Records that an incarnation leaves; false if this is known. */
export function recordLeaving(
  state: LeavingTargets,
  key: string,
  isOwn: boolean,
  nowMs: number,
): boolean {
  const {announcements} = state;
  if (announcements.has(key)) return false;
  announcements.set(key, {heardMs: nowMs, isOwn});
  for (const [oldKey, {heardMs}] of announcements) {
    if (announcements.size <= MAX_REMEMBERED && nowMs - heardMs < MEMORY_MS) break;
    announcements.delete(oldKey);
  }
  return true;
}

export function isLeaving(state: LeavingTargets, entry: TargetEntry): boolean {
  return state.announcements.has(incarnationKey(entry));
}

/**
 * The incarnations that a host names in its record: those that it has heard from itself. A host that
 * reads for others names all it knows, so that a later host learns of them although the one that
 * heard it is gone.
 */
export function listShared(state: LeavingTargets, sharesAll: boolean, nowMs: number): string[] {
  const keys: string[] = [];
  for (const [key, {heardMs, isOwn}] of state.announcements) {
    if ((isOwn || sharesAll) && nowMs - heardMs < SHARED_MS) keys.push(key);
  }
  return keys;
}
