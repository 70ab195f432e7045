import {issueKey, KeyRecord, TeamConfig, teamKey} from '@radishgw/config';
import {createSystemRandom, KeyId, toId} from '@radishgw/core';
import {applyChanges} from '../changes.js';
import {Command, CommandContext} from '../command.js';
import {CommandError} from '../errors.js';
import {callHost, listHosts} from '../hosts.js';
import {unwrapResult} from '../platform-errors.js';
import {waitAndWriteChanges, WAIT_OPTIONS, waitIfRequested} from './configuration.js';

const KEY_ID_BYTES = 6;

/** Replaces the keys of a team with a conditional update. */
async function updateKeys(
  context: CommandContext,
  teamId: string,
  computeKeys: (keys: readonly KeyRecord[]) => KeyRecord[],
) {
  const key = teamKey(teamId);
  const object = unwrapResult(await context.platform.get(key), `team ${teamId}`);
  const before = JSON.parse(object.value) as TeamConfig;
  const after = {...before, keys: computeKeys(before.keys)};
  return applyChanges(context, [{key, kind: 'update', ifRevision: object.revision, before, after}]);
}

const issue: Command = {
  usage: 'issue <teamId>',
  description: 'Issues a key; its text is shown once and not stored',
  options: WAIT_OPTIONS,
  run: async (context, args) => {
    const random = createSystemRandom();
    const key = issueKey(toId<KeyId>(random.nextHex(KEY_ID_BYTES)), random);
    const applied = await updateKeys(context, String(args.teamId), keys => [...keys, key.record]);
    context.output.writeObject({keyId: key.record.keyId, key: key.text});
    await waitIfRequested(context, args, applied);
  },
};

/** Sends a withdrawal directly to all hosts, as some may not be able to read the platform. */
async function sendWithdrawal(context: CommandContext, record: KeyRecord): Promise<string> {
  const hosts = await listHosts(context.platform).catch(() => []);
  const {keyId, digestHex} = record;
  const responses = await Promise.all(
    hosts.map(host => callHost(host, 'POST', '/withdrawals', {keyId, digestHex})),
  );
  const confirmedCount = responses.filter(response => response !== undefined).length;
  return `${confirmedCount} of ${hosts.length} hosts already refuse the key`;
}

const withdraw: Command = {
  usage: 'withdraw <teamId> <keyId>',
  description: 'Withdraws a key; hosts refuse it at once, or within seconds if they are cut off',
  options: WAIT_OPTIONS,
  run: async (context, args) => {
    const keyId = String(args.keyId);
    let withdrawn: KeyRecord | undefined;
    const applied = await updateKeys(context, String(args.teamId), keys => {
      withdrawn = keys.find(key => key.keyId === keyId);
      if (!withdrawn) throw new CommandError('failed', `the team has no key "${keyId}"`);
      return keys.filter(key => key !== withdrawn);
    });
    if (withdrawn) process.stderr.write((await sendWithdrawal(context, withdrawn)) + '\n');
    await waitAndWriteChanges(context, args, applied);
  },
};

export const KEY_COMMANDS: readonly Command[] = [issue, withdraw];
