import {randomBytes} from 'node:crypto';
import {PlannedChange} from '@radishgw/config';
import {Platform, Revision} from '@radishgw/coordination';
import {CommandContext} from './command.js';
import {CommandError} from './errors.js';
import {listHosts, readStatus} from './hosts.js';
import {expectAnswer} from './platform-errors.js';

export const HISTORY_PREFIX = 'config-history/';
const WAIT_POLL_MS = 200;
const HISTORY_ID_BYTES = 4;

/** A change that the platform has accepted. */
export interface AppliedChange {
  readonly key: string;
  readonly kind: PlannedChange['kind'];
  readonly revision: Revision;
}

/**
 * Makes changes in order, each on condition that nobody else changed the object since it was read.
 * A change whose answer was lost is settled by reading the object back.
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
  const answer =
    change.kind === 'remove'
      ? await platform.remove(change.key, condition)
      : await platform.put(change.key, value, condition);
  if (answer.err && answer.val.kind === 'outcomeUnknown') {
    const read = await platform.get(change.key);
    if (change.kind === 'remove' && read.err && read.val.kind === 'notFound') {
      return expectAnswer(await platform.list(change.key), 'read back').revision;
    }
    if (read.ok && read.val.value === value) return read.val.revision;
  }
  return expectAnswer(answer, `change ${change.key}`);
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
  const key = `${HISTORY_PREFIX}${at}-${randomBytes(HISTORY_ID_BYTES).toString('hex')}`;
  const answer = await context.platform.put(key, JSON.stringify(record), {ifRevision: 0});
  if (answer.err) process.stderr.write('radishctl: the change was made but not recorded\n');
}

/** State of a host while a change spreads. */
export interface RolloutState {
  readonly host: string;
  readonly failureDomain: string;
  readonly revision: Revision | undefined;
  readonly inForce: boolean;
}

/**
 * Waits until every host with a session reports `revision` or a later one. A host that can't be
 * reached counts as not in force until its session object is gone.
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
      const message = `revision ${revision} is not in force everywhere after ${timeoutMs} ms`;
      throw new CommandError('notInForce', message);
    }
    await new Promise(resolve => setTimeout(resolve, WAIT_POLL_MS));
  }
}
