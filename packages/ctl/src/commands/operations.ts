import {BASE_KEY, BaseConfig} from '@radishgw/config';
import {applyChanges} from '../changes.js';
import {Command, CommandContext} from '../command.js';
import {CommandError} from '../errors.js';
import {callHost, HostSession, listHosts, readStatus} from '../hosts.js';
import {unwrapResult} from '../platform-errors.js';
import {waitAndWriteChanges, WAIT_OPTIONS} from './configuration.js';

const STATUS_COLUMNS = [
  'host',
  'failureDomain',
  'session',
  'ready',
  'freshness',
  'completeRevision',
  'inFlight',
  'queued',
  'shards',
  'roles',
];

const status: Command = {
  usage: 'status',
  description: 'Shows hosts, their versions and load, and the holders of roles',
  run: async context => {
    const hosts = await listHosts(context.platform);
    const rows = await Promise.all(
      hosts.map(async host => ({
        host: host.hostId,
        failureDomain: host.failureDomain,
        session: host.state,
        ...((await readStatus(host)) ?? {reachable: false}),
      })),
    );
    const roles = unwrapResult(await context.platform.list('roles/'), 'list roles');
    const holders = roles.objects.map(object => {
      const value = JSON.parse(object.value) as Record<string, unknown>;
      return {role: object.key, holder: value.hostId, epoch: value.epoch};
    });
    context.output.writeSections({
      hosts: {rows, columns: STATUS_COLUMNS},
      roles: {rows: holders, columns: ['role', 'holder', 'epoch']},
    });
    if (rows.some(row => 'reachable' in row)) {
      throw new CommandError('failed', 'some hosts are unreachable');
    }
  },
};

async function findHost(context: CommandContext, hostId: string): Promise<HostSession> {
  const host = (await listHosts(context.platform)).find(entry => entry.hostId === hostId);
  if (!host) throw new CommandError('failed', `no host "${hostId}" has a session`);
  return host;
}

const drainHost: Command = {
  usage: 'host <hostId>',
  description: 'Stops a host gracefully; it refuses new requests and finishes those in flight',
  run: async (context, args) => {
    const host = await findHost(context, String(args.hostId));
    const response = await callHost(host, 'POST', '/drain');
    if (response === undefined) {
      throw new CommandError('unavailable', `${host.hostId} did not confirm the drain request`);
    }
    context.output.writeObject({host: host.hostId, draining: true});
  },
};

const drainTarget: Command = {
  usage: 'target <targetId>',
  description: 'Stops new work for a target; --undo resumes it',
  options: {...WAIT_OPTIONS, undo: {type: 'boolean', default: false}},
  run: async (context, args) => {
    const object = unwrapResult(await context.platform.get(BASE_KEY), 'read configuration');
    const before = JSON.parse(object.value) as BaseConfig;
    if (!before.targets.some(target => target.targetId === args.targetId)) {
      throw new CommandError('failed', `no target "${String(args.targetId)}"`);
    }
    const state = args.undo ? ('active' as const) : ('draining' as const);
    const targets = before.targets.map(target =>
      target.targetId === args.targetId ? {...target, state} : target,
    );
    const applied = await applyChanges(context, [
      {
        key: BASE_KEY,
        kind: 'update',
        ifRevision: object.revision,
        before,
        after: {...before, targets},
      },
    ]);
    await waitAndWriteChanges(context, args, applied);
  },
};

const explain: Command = {
  usage: 'explain <id>',
  description: 'Shows recent decisions about a request id, team or target, and their reasons',
  run: async (context, args) => {
    const path = `/explain?id=${encodeURIComponent(String(args.id))}`;
    const hosts = await listHosts(context.platform);
    const recordsByHost = await Promise.all(
      hosts.map(async host => {
        const response = (await callHost(host, 'GET', path)) as {records?: object[]} | undefined;
        return (response?.records ?? []).map(record => ({host: host.hostId, ...record}));
      }),
    );
    const records = recordsByHost.flat();
    context.output.writeRows(records, ['host', 'at', 'kind', 'subject', 'decision', 'reason']);
    if (records.length === 0) {
      throw new CommandError('failed', `no recent decision about "${String(args.id)}"`);
    }
  },
};

const usage: Command = {
  usage: 'usage',
  description: 'Shows the frozen usage windows',
  options: {team: {type: 'string', describe: 'Only this team'}},
  run: async (context, args) => {
    const list = unwrapResult(await context.platform.list('usage/'), 'list usage');
    const rows = list.objects
      .map(object => ({
        window: object.key.slice('usage/'.length),
        figures: JSON.parse(object.value) as Record<string, unknown>,
      }))
      .filter(row => !args.team || JSON.stringify(row.figures).includes(`"${String(args.team)}"`));
    context.output.writeRows(rows, ['window', 'figures']);
  },
};

export const OPERATION_COMMANDS: readonly Command[] = [status, explain, usage];
export const DRAIN_COMMANDS: readonly Command[] = [drainHost, drainTarget];
