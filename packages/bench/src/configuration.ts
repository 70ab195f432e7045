import {
  BASE_KEY,
  ConfigStore,
  Freshness,
  issueKey,
  KnownHost,
  SCHEMA_VERSION,
  teamKey,
} from '@radishgw/config';
import {createSeededRandom, FailureDomain, HostId, KeyId, toId} from '@radishgw/core';
import {PlatformEvent} from '@radishgw/coordination';
import {Bench, BenchRow} from './bench.js';

const TEAM_COUNTS = [5, 1000, 10_000, 39_000];
const HOST_COUNTS = [9, 90, 730];
const CHANGE_COUNT = 2000;
const EVALUATION_COUNT = 2000;
const FAILURE_DOMAINS = 26;
const BYTES_PER_MEGABYTE = 1_000_000;
const US_PER_MS = 1000;

const BASE = {
  schemaVersion: SCHEMA_VERSION,
  templates: [
    {templateId: 'desk', parameters: {models: ['m'], tokensPerSecond: 1000, burstTokens: 5000}},
  ],
  models: [{model: 'm', pool: 'p', maxOutputTokens: 256}],
  routes: [],
  targets: [],
};

function createTeamEvent(index: number, revision: number, key: object): PlatformEvent {
  const teamId = `team-${index}`;
  const parameters = {tokensPerSecond: 1000 + (revision % 100), burstTokens: 5000};
  const value = JSON.stringify({
    schemaVersion: SCHEMA_VERSION,
    teamId,
    template: 'desk',
    parameters,
    keys: [{...key, keyId: `k${index}`}],
  });
  return {key: teamKey(teamId), revision, value, removed: false};
}

function readHeapBytes(): number {
  (globalThis as {gc?: () => void}).gc?.();
  return process.memoryUsage().heapUsed;
}

/** Measures loading all teams, then applying changes to random ones. */
function measureStore(teamCount: number, seed: number): BenchRow {
  const random = createSeededRandom(seed);
  const {record} = issueKey(toId<KeyId>('k'), random);
  const before = readHeapBytes();
  const store = new ConfigStore();
  store.applyEvent({key: BASE_KEY, revision: 1, value: JSON.stringify(BASE), removed: false});
  let revision = 1;
  let bytes = 0;
  const loadStartMs = performance.now();
  for (let i = 0; i < teamCount; i++) {
    const event = createTeamEvent(i, ++revision, record);
    bytes += event.value.length;
    store.applyEvent(event);
  }
  const loadMs = performance.now() - loadStartMs;
  const heapBytes = readHeapBytes() - before;
  const events = Array.from({length: CHANGE_COUNT}, () =>
    createTeamEvent(random.nextInt(teamCount), ++revision, record),
  );
  const changeStartMs = performance.now();
  for (const event of events) store.applyEvent(event);
  const changeUs = ((performance.now() - changeStartMs) / CHANGE_COUNT) * US_PER_MS;
  return {
    size: `${teamCount} teams`,
    what: 'configuration of one host',
    loadMs: Number(loadMs.toFixed(1)),
    heapMegabytes: Number((heapBytes / BYTES_PER_MEGABYTE).toFixed(2)),
    bytesPerChange: Math.round(bytes / teamCount),
    usPerDecision: Number(changeUs.toFixed(1)),
  };
}

/** Measures the slow path of the freshness decision, in which all other hosts report an outage. */
function measureFreshness(hostCount: number): BenchRow {
  const hosts: KnownHost[] = Array.from({length: hostCount}, (_, i) => ({
    hostId: toId<HostId>(`host-${i}`),
    failureDomain: toId<FailureDomain>(`domain-${i % FAILURE_DOMAINS}`),
  }));
  const freshness = new Freshness(hosts[0]);
  freshness.confirm(0);
  freshness.setKnownHosts(hosts, 0);
  freshness.recordPlatformFailure(9000);
  for (const host of hosts.slice(1)) {
    const report = {sentMs: 9000, configRevision: 1, freshAgeMs: 9000, platformFailureAgeMs: 0};
    freshness.recordReport(host.hostId, report, 1);
  }
  const startMs = performance.now();
  for (let i = 0; i < EVALUATION_COUNT; i++) freshness.evaluate(10_000, 1);
  const us = ((performance.now() - startMs) / EVALUATION_COUNT) * US_PER_MS;
  return {
    size: `${hostCount} hosts`,
    what: 'freshness during an outage',
    loadMs: 0,
    heapMegabytes: 0,
    bytesPerChange: 0,
    usPerDecision: Number(us.toFixed(1)),
  };
}

/** Measures the time and memory that one host needs for its configuration. */
export const CONFIGURATION_BENCH: Bench = {
  description: 'configuration held and applied by one host, and the freshness decision',
  run: ({seeds}) => {
    const rows = [
      ...TEAM_COUNTS.map(count => measureStore(count, seeds[0])),
      ...HOST_COUNTS.map(measureFreshness),
    ];
    const largest = rows[TEAM_COUNTS.length - 1];
    return {
      settings: {changes: CHANGE_COUNT, judgements: EVALUATION_COUNT, seed: seeds[0]},
      rows,
      conclusion:
        `With 39,000 teams a host holds ${largest.heapMegabytes} MB of configuration and applies ` +
        `a change in ${largest.usPerDecision} us.`,
    };
  },
};
