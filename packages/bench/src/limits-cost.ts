import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {HostId, RequestId, SessionId, TeamId, toId} from '@radishgw/core';
import {
  applyShardRecord,
  createHost,
  createOwner,
  DEFAULT_LIMIT_SETTINGS,
  handleAcquire,
  handleConfirm,
  HostAction,
  HostState,
  onAcquireResponse,
  onConfirmResponse,
  OwnerState,
  processHostTimers,
  requestTokens,
  settleRequest,
} from '@radishgw/limits';
import {BenchRow} from './bench.js';

const TEAM_COUNTS = [100, 1000, 10_000, 39_000];
const DECISION_COUNT = 50_000;
const LIMIT = {tokensPerSecond: 1e6, burstTokens: 1e7, revision: 1};

function collectGarbage(): void {
  setFlagsFromString('--expose-gc');
  runInNewContext('gc')();
}

function measureHeapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

interface HostAndOwner {
  readonly host: HostState;
  readonly owner: OwnerState;
}

function createHostAndOwner(): HostAndOwner {
  const settings = {...DEFAULT_LIMIT_SETTINGS, shardCount: 1, reserveRateFraction: 0};
  const findLimit = () => LIMIT;
  const hostId = toId<HostId>('a');
  const sessionId = toId<SessionId>('s');
  const owner = createOwner({
    shard: 0,
    epoch: 1,
    settings,
    findLimit,
    nowMs: 0,
    authorityUntilMs: Infinity,
    unownedMs: 600_000,
    formerHolders: [],
    placement: [hostId],
  });
  const host = createHost({hostId, sessionId, settings, findLimit});
  return {host, owner};
}

/**
 * Executes host actions by calling the owner directly, including all follow-up actions. Returns the
 * number of admitted requests.
 */
function exchange(pair: HostAndOwner, actions: readonly HostAction[], nowMs: number): number {
  let admitted = 0;
  for (const action of actions) {
    if (action.type === 'admit') admitted++;
    else if (action.type === 'acquire') {
      const {teamId, grantId} = action.request;
      const {response} = handleAcquire(pair.owner, action.request, nowMs);
      admitted += exchange(
        pair,
        onAcquireResponse(pair.host, teamId, grantId, response, nowMs),
        nowMs,
      );
    } else if (action.type === 'confirm') {
      for (const reply of handleConfirm(pair.owner, action.request, nowMs)) {
        const {requestSequence, response} = reply;
        const next = onConfirmResponse(pair.host, 0, requestSequence, response, nowMs);
        admitted += exchange(pair, next, nowMs);
      }
    }
  }
  return admitted;
}

function measureTeams(teamCount: number): BenchRow {
  const teams = Array.from({length: teamCount}, (_, index) => toId<TeamId>(`team${index}`));
  const bytesBefore = measureHeapBytes();
  const pair = createHostAndOwner();
  exchange(pair, applyShardRecord(pair.host, {shard: 0, epoch: 1, isPlacementHost: true}, 0), 0);
  let nowMs = 1;
  const admitAndSettle = (index: number) => {
    const teamId = teams[index % teamCount];
    const requestId = toId<RequestId>(`r${index}`);
    const actions = requestTokens(pair.host, {requestId, teamId, costTokens: 300}, nowMs);
    const admitted = exchange(pair, actions, nowMs);
    exchange(pair, settleRequest(pair.host, teamId, requestId, 200, nowMs), nowMs);
    return admitted;
  };
  for (let index = 0; index < teamCount; index++) admitAndSettle(index);
  const bytes = measureHeapBytes() - bytesBefore;
  const started = process.cpuUsage();
  let admitted = 0;
  for (let index = 0; index < DECISION_COUNT; index++) {
    // One request per millisecond on average; the specified peak is 29 per second and host.
    if (index % 10 === 0) nowMs += 10;
    if (index % 1000 === 0) exchange(pair, processHostTimers(pair.host, nowMs), nowMs);
    admitted += admitAndSettle(teamCount + index);
  }
  const used = process.cpuUsage(started);
  const cpuUs = (used.user + used.system) / DECISION_COUNT;
  return {
    part: 'cost',
    teams: teamCount,
    decisions: DECISION_COUNT,
    admitted,
    'CPU us/decision': Number(cpuUs.toFixed(2)),
    'bytes/team (host + owner)': Math.round(bytes / teamCount),
  };
}

/**
 * CPU time and memory of one host and one owner for several numbers of active teams, and the
 * log-log slope of the CPU time.
 */
export function measureCost(): BenchRow[] {
  const rows = TEAM_COUNTS.map(measureTeams);
  const name = 'CPU us/decision';
  const first = Number(rows[0][name]);
  const last = Number(rows[rows.length - 1][name]);
  const decades = Math.log10(TEAM_COUNTS[TEAM_COUNTS.length - 1] / TEAM_COUNTS[0]);
  const slope = Math.log10(last / first) / decades;
  return [...rows, {part: 'cost', setting: 'log-log slope of CPU over teams', slope}];
}
