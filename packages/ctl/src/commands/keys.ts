import {issueKey, KeyRecord, TeamConfig, teamKey} from '@radishgw/config';
import {createSystemRandom, KeyId, toId} from '@radishgw/core';
import {applyChanges} from '../changes.js';
import {Command, CommandContext} from '../command.js';
import {CommandError} from '../errors.js';
import {callHost, listHosts} from '../hosts.js';
import {expectAnswer} from '../platform-errors.js';
import {finishChange, WAIT_OPTIONS, waitIfAsked} from './configuration.js';

const KEY_ID_BYTES = 6;

/** Replaces the keys of a team by a conditional update. */
async function changeKeys(
  context: CommandContext,
  teamId: string,
  change: (keys: readonly KeyRecord[]) => KeyRecord[],
) {
  const key = teamKey(teamId);
  const object = expectAnswer(await context.platform.get(key), `team ${teamId}`);
  const before = JSON.parse(object.value) as TeamConfig;
  const after = {...before, keys: change(before.keys)};
  return applyChanges(context, [{key, kind: 'update', ifRevision: object.revision, before, after}]);
}

const issue: Command = {
  usage: 'issue <teamId>',
  description: 'Issues a key; its text is shown once and not stored',
  options: WAIT_OPTIONS,
  run: async (context, args) => {
    const random = createSystemRandom();
    const key = issueKey(toId<KeyId>(random.nextHex(KEY_ID_BYTES)), random);
    const applied = await changeKeys(context, String(args.teamId), keys => [...keys, key.record]);
    context.output.writeObject({keyId: key.record.keyId, key: key.text});
    await waitIfAsked(context, args, applied);
  },
};

/** Tells all hosts directly, for hosts that can't read the platform at the moment. */
async function pushWithdrawal(context: CommandContext, record: KeyRecord): Promise<string> {
  const hosts = await listHosts(context.platform).catch(() => []);
  const {keyId, digestHex} = record;
  const answers = await Promise.all(
    hosts.map(host => callHost(host, 'POST', '/withdrawals', {keyId, digestHex})),
  );
  const told = answers.filter(answer => answer !== undefined).length;
  return `${told} of ${hosts.length} hosts refuse the key already`;
}

const withdraw: Command = {
  usage: 'withdraw <teamId> <keyId>',
  description: 'Withdraws a key; hosts refuse it at once, or stop within seconds if cut off',
  options: WAIT_OPTIONS,
  run: async (context, args) => {
    const keyId = String(args.keyId);
    let withdrawn: KeyRecord | undefined;
    const applied = await changeKeys(context, String(args.teamId), keys => {
      withdrawn = keys.find(key => key.keyId === keyId);
      if (!withdrawn) throw new CommandError('failed', `the team has no key "${keyId}"`);
      return keys.filter(key => key !== withdrawn);
    });
    if (withdrawn) process.stderr.write((await pushWithdrawal(context, withdrawn)) + '\n');
    await finishChange(context, args, applied);
  },
};

export const KEY_COMMANDS: readonly Command[] = [issue, withdraw];
