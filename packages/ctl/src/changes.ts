import {randomBytes} from 'node:crypto';
import {PlannedChange} from '@radishgw/config';
import {Platform, Revision} from '@radishgw/coordination';
import {CommandContext} from './command.js';
import {CommandError} from './errors.js';
import {listHosts, readStatus} from './hosts.js';
import {unwrapResult} from './platform-errors.js';

export const HISTORY_PREFIX = 'config-history/';
const POLL_INTERVAL_MS = 200;
const HISTORY_SUFFIX_BYTES = 4;

/** A configuration change that the platform has accepted. */
export interface AppliedChange {
  readonly key: string;
  readonly kind: PlannedChange['kind'];
  readonly revision: Revision;
}

/**
 * Applies changes in order. Each is conditional on the revision that was read, so that a concurrent
 * change isn't overwritten. If the outcome of a change is unknown, reading the object settles it.
 */
export async function applyChanges(
  context: CommandContext,
  changes: readonly PlannedChange[],
): Promise<AppliedChange[]> {
  const applied: AppliedChange[] = [];
  for (const change of changes) {
    const revision = await applyChange(context.platform, change);
    applied.push({key: change.key, kind: change.kind, revision});
  }
  if (applied.length > 0) await recordHistory(context, changes, applied);
  return applied;
}

async function applyChange(platform: Platform, change: PlannedChange): Promise<Revision> {
  const condition = {ifRevision: change.ifRevision};
  const value = JSON.stringify(change.after);
  const result =
    change.kind === 'remove'
      ? await platform.remove(change.key, condition)
      : await platform.put(change.key, value, condition);
  if (result.err && result.val.kind === 'outcomeUnknown') {
    const current = await platform.get(change.key);
    if (change.kind === 'remove' && current.err && current.val.kind === 'notFound') {
      return unwrapResult(await platform.list(change.key), 'read back').revision;
    }
    if (current.ok && current.val.value === value) return current.val.revision;
  }
  return unwrapResult(result, `change ${change.key}`);
}

async function recordHistory(
  context: CommandContext,
  changes: readonly PlannedChange[],
  applied: readonly AppliedChange[],
): Promise<void> {
  const at = new Date().toISOString();
  const record = {
    at,
    operator: context.operator,
    changes: applied.map((change, i) => ({...change, before: changes[i].before ?? null})),
  };
  const key = `${HISTORY_PREFIX}${at}-${randomBytes(HISTORY_SUFFIX_BYTES).toString('hex')}`;
  const result = await context.platform.put(key, JSON.stringify(record), {ifRevision: 0});
  if (result.err) process.stderr.write('radishctl: change applied, but not recorded in history\n');
}

/** Rollout state of a configuration change on one host. */
export interface RolloutState {
  readonly host: string;
  readonly failureDomain: string;
  readonly revision: Revision | undefined;
  readonly inForce: boolean;
}

/**
 * Waits until every host with a session reports the latest revision of `changes` or a later one.
 * On an unreachable host they count as not in force until its session object is gone.
 */
export async function waitUntilInForce(
  context: CommandContext,
  changes: readonly AppliedChange[],
  timeoutMs: number,
): Promise<RolloutState[]> {
  const revision = Math.max(...changes.map(change => change.revision));
  const deadlineMs = performance.now() + timeoutMs;
  for (;;) {
    const hosts = await listHosts(context.platform);
    const states = await Promise.all(
      hosts.map(async host => {
        const status = await readStatus(host);
        const rejected = status?.rejected.find(error =>
          changes.some(change => change.key === error.key),
        );
        if (rejected) {
          const message = `${host.hostId} rejected ${rejected.key}: ${rejected.message}`;
          throw new CommandError('failed', message);
        }
        return {
          host: host.hostId,
          failureDomain: host.failureDomain,
          revision: status?.completeRevision,
          inForce: (status?.completeRevision ?? 0) >= revision,
        };
      }),
    );
    if (states.every(state => state.inForce)) return states;
    if (performance.now() > deadlineMs) {
      context.output.writeRows(states, ['host', 'failureDomain', 'revision', 'inForce']);
      const message = `revision ${revision} is not in force on all hosts after ${timeoutMs} ms`;
      throw new CommandError('notInForce', message);
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
