import {
  createHandlers,
  createSeededRandom,
  FailureDomain,
  hash32,
  HostId,
  Ok,
  SILENT_LOG,
  startTask,
  SystemClock,
  toId,
  VirtualClock,
} from '@radishgw/core';
import {
  DEFAULT_LEASE_TIMES,
  HostSession,
  Member,
  Membership,
  ObjectList,
  Platform,
  RoleLease,
  ShardAssignment,
} from '@radishgw/coordination';
import {drainPromises, MemoryPlatform, MemoryStore} from '@radishgw/coordination/testing';
import {Bench, BenchRow} from '../bench.js';

const SHARD_COUNT = 64;
const ROLE_CANDIDATES = 3;
const WARM_UP_MS = 12_000;
/** Minimum measurement time; extended so that each host reads the sessions at least once. */
const MIN_MEASURED_MS = 10_000;
const RENEWALS = 5000;

/**
 * Host counts of a current deployment, of one ten times as large, and of the scale on the design
 * page. A list of sessions has about 300 bytes per host, so the refresh interval must grow with the
 * number of hosts to keep each host below the 13 KB/s of the design page.
 */
const CASES = [
  {hostCount: 9, refreshMs: 1000},
  {hostCount: 90, refreshMs: 1000},
  {hostCount: 90, refreshMs: 3000},
  {hostCount: 730, refreshMs: 20_000},
] as const;

interface Cost {
  readonly callsPerSecond: Readonly<Record<string, number>>;
  /** Bytes of session lists read per second by one host. */
  readonly listBytesPerSecond: number;
  readonly cpuMsPerHostSecond: number;
}

/** Caches the selection, which is the same for all hosts, so that its CPU time is counted once. */
const candidateCache = new Map<string, HostId[]>();

function selectCandidates(members: readonly Member[], salt: string, count: number): HostId[] {
  const key = `${salt}:${members.map(({hostId}) => hostId).join()}`;
  const known = candidateCache.get(key);
  if (known) return known;
  const hosts = rankHosts(members, salt, count);
  candidateCache.set(key, hosts);
  return hosts;
}

function rankHosts(members: readonly Member[], salt: string, count: number): HostId[] {
  return members
    .map(({hostId}) => ({hostId, score: hash32(`${salt}/${hostId}`)}))
    .sort((a, b) => b.score - a.score)
    .slice(0, count)
    .map(({hostId}) => hostId);
}

const placementCache = new Map<string, HostId[][]>();

function placeShards(members: readonly Member[], shardCount: number): HostId[][] {
  const key = members.map(({hostId}) => hostId).join();
  const known = placementCache.get(key);
  if (known) return known;
  const placement = Array.from({length: shardCount}, (_, shard) =>
    rankHosts(members, `${shard}`, 3),
  );
  placementCache.set(key, placement);
  return placement;
}

/** Runs the control procedures of all hosts on a virtual clock and counts calls to the store. */
async function measureCluster(hostCount: number, refreshMs: number, seed: number): Promise<Cost> {
  const clock = new VirtualClock();
  const store = new MemoryStore(clock, {retentionMs: 5000});
  let listBytes = 0;
  for (let index = 0; index < hostCount; index++) {
    startHost(clock, store, `host-${index}`, refreshMs, seed * 1000 + index, list => {
      for (const object of list.objects) listBytes += object.value.length + object.key.length;
    });
  }
  await runFor(clock, Math.max(WARM_UP_MS, 2 * refreshMs));
  store.callCounts.clear();
  listBytes = 0;
  const cpuBefore = process.cpuUsage();
  const measuredMs = Math.max(MIN_MEASURED_MS, refreshMs);
  await runFor(clock, measuredMs);
  const cpu = process.cpuUsage(cpuBefore);
  const seconds = measuredMs / 1000;
  const callsPerSecond = Object.fromEntries(
    [...store.callCounts].map(([operation, count]) => [operation, count / seconds]),
  );
  return {
    callsPerSecond,
    listBytesPerSecond: listBytes / seconds / hostCount,
    cpuMsPerHostSecond: (cpu.user + cpu.system) / 1000 / seconds / hostCount,
  };
}

function startHost(
  clock: VirtualClock,
  store: MemoryStore,
  name: string,
  refreshMs: number,
  seed: number,
  onList: (list: ObjectList) => void,
): void {
  const random = createSeededRandom(seed);
  const path = new MemoryPlatform({store, clock, random, client: name});
  path.faults.latencyMs = [1, 3];
  const list: Platform['list'] = async prefix => {
    const answer = await path.list(prefix);
    if (answer.ok && prefix.startsWith('hosts/')) onList(answer.val);
    return answer;
  };
  const platform = new Proxy(path, {
    get: (target, key) =>
      key === 'list' ? list : Reflect.get(target, key, target)?.bind?.(target),
  }) as Platform;
  const dependencies = {platform, clock, random, log: SILENT_LOG};
  const handlers = createHandlers(clock);
  const hostId = toId<HostId>(name);
  const session = new HostSession(dependencies, createSettings(hostId));
  const membership = new Membership(dependencies, {times: DEFAULT_LEASE_TIMES, refreshMs});
  const shards = new ShardAssignment(dependencies, session, membership, {
    shardCount: SHARD_COUNT,
    placement: placeShards,
  });
  const procedures = [session.run(), membership.run(), shards.watch(), shards.run()];
  for (const role of ['fleet', 'usage'] as const) {
    const isCandidate = () =>
      selectCandidates(membership.members(), role, ROLE_CANDIDATES).includes(hostId);
    const lease = new RoleLease(dependencies, handlers, session, membership, {role, isCandidate});
    procedures.push(lease.run());
  }
  for (const procedure of procedures) {
    // Hosts start at different times, as they do in a deployment.
    clock.setTimer(random.next() * 2000, () => startTask<unknown>(procedure, handlers));
  }
}

function createSettings(hostId: HostId) {
  return {
    hostId,
    failureDomain: toId<FailureDomain>('domain-a'),
    callerAddress: '10.0.0.1:8080',
    innerAddress: '10.0.0.1:8081',
    operatorAddress: '10.0.0.1:8082',
  };
}

async function runFor(clock: VirtualClock, durationMs: number): Promise<void> {
  const endMs = clock.nowMs() + durationMs;
  let reached = false;
  clock.setTimer(durationMs, () => {
    reached = true;
  });
  while (!reached && clock.runNext()) await drainPromises();
  if (clock.nowMs() < endMs)
    throw new Error('virtual clock has no pending timers before the end of the measurement');
}

/** Measures the CPU time in µs of one session renewal, with a platform that responds at once. */
async function measureRenewal(): Promise<number> {
  const clock = new VirtualClock();
  let revision = 0;
  const platform = {
    get: async () => ({ok: false, err: true, val: {kind: 'notFound'}}),
    put: async () => Ok(++revision),
  } as unknown as Platform;
  const dependencies = {platform, clock, random: createSeededRandom(1), log: SILENT_LOG};
  const session = new HostSession(dependencies, createSettings(toId<HostId>('host')));
  startTask(session.run(), createHandlers(clock));
  await runFor(clock, 100 * DEFAULT_LEASE_TIMES.renewMs);
  const before = process.cpuUsage();
  await runFor(clock, RENEWALS * DEFAULT_LEASE_TIMES.renewMs);
  const {user, system} = process.cpuUsage(before);
  return (user + system) / RENEWALS;
}

/** Measures the platform calls and CPU time of sessions, membership, shards and roles. */
export const MEMBERSHIP_COST_BENCH: Bench = {
  description: 'Platform calls and CPU time of sessions, membership, shards and roles',
  async run({seeds}) {
    const startedAtMs = new SystemClock().nowMs();
    const renewalUs = await measureRenewal();
    const rows: BenchRow[] = [];
    for (const {hostCount, refreshMs} of CASES) {
      const cost = await measureCluster(hostCount, refreshMs, seeds[0]);
      const rate = (...operations: string[]) =>
        operations.reduce((sum, name) => sum + (cost.callsPerSecond[name] ?? 0), 0);
      rows.push({
        hosts: hostCount,
        'refresh ms': refreshMs,
        'writes/s': Math.round(rate('put', 'remove')),
        'reads/s': Math.round(rate('get', 'list', 'listHosts', 'watch')),
        'pending watches': hostCount,
        'session bytes read/s per host': Math.round(cost.listBytesPerSecond),
        'CPU ms/s per host, fake platform included': Number(cost.cpuMsPerHostSecond.toFixed(2)),
        'CPU µs per renewal': Math.round(renewalUs),
      });
    }
    const last = rows.at(-1)!;
    const seconds = Math.round((new SystemClock().nowMs() - startedAtMs) / 1000);
    return {
      settings: {
        shards: SHARD_COUNT,
        roleCandidates: ROLE_CANDIDATES,
        minMeasuredMs: MIN_MEASURED_MS,
      },
      rows,
      conclusion:
        `At ${last.hosts} hosts: ${last['writes/s']} writes/s of several hundred and ` +
        `${last['reads/s']} reads/s of about 2000 that the platform handles, with ` +
        `${last['pending watches']} pending watches on top; each host reads ` +
        `${last['session bytes read/s per host']} of its 13000 bytes/s. Took ${seconds} s.`,
    };
  },
};
