import {HostId, toId} from '@radishgw/core';
import {HostHeartbeat, HostRecord} from './host-registry.js';
import {EvacuationList, RelayConfig, TargetList} from '../model.js';
import {CrashEvidence} from '../quarantine/quarantine.js';
import {ReadIntervals} from './read-intervals.js';
import {joinConfig, splitConfig} from './shared-config.js';

/** Kinds of values that readers share. */
export type SharedKind = 'config' | 'targets' | 'evacuations' | 'hosts' | 'beats';

/** Splits values of a kind into entries, so that only changed entries are sent. */
interface KindHandler {
  /** Maximum age of a read that is accepted from a reader: its interval plus one slow call. */
  maxAgeMs(intervals: ReadIntervals): number;
  /** Kind that is fetched at about the same times; both are fetched with one call. */
  readonly companion?: SharedKind;
  split(value: unknown): readonly (readonly [string, unknown])[];
  join(
    entries: ReadonlyMap<string, unknown>,
    revision: number | undefined,
    era: number | undefined,
  ): unknown;
  /** Revision of a value, where it has one; a newer value has no lower one. */
  revisionOf?(value: unknown): number;
  /** Era of the store at which the value was read, where it names one. */
  eraOf?(value: unknown): number | undefined;
  /** Whether values with the same revision are the same. */
  readonly isIdentifiedByRevision?: boolean;
  /**
   * Maximum length of the changed entries that a reader sends, in characters. Sending more to each
   * host of the failure domain would take longer than the timeout of a small reader's followers.
   */
  readonly maxChangedChars?: number;
}

/** Records of the hosts and their evidence on crashes of engines. */
export interface SharedHosts {
  readonly records: readonly HostRecord[];
  readonly evidence: ReadonlyMap<HostId, CrashEvidence>;
}

const RECORD_PREFIX = 'record/';
const EVIDENCE_PREFIX = 'evidence/';

function splitHosts({records, evidence}: SharedHosts): (readonly [string, unknown])[] {
  return [
    ...records.map(record => [RECORD_PREFIX + record.hostId, record] as const),
    ...[...evidence].map(([hostId, entry]) => [EVIDENCE_PREFIX + hostId, entry] as const),
  ];
}

function joinHosts(entries: ReadonlyMap<string, unknown>): SharedHosts {
  const records: HostRecord[] = [];
  const evidence = new Map<HostId, CrashEvidence>();
  for (const [key, entry] of entries) {
    if (key.startsWith(RECORD_PREFIX)) records.push(entry as HostRecord);
    else evidence.set(toId<HostId>(key.slice(EVIDENCE_PREFIX.length)), entry as CrashEvidence);
  }
  return {records, evidence};
}

/** Duration of a slow call to the store that still succeeds. */
const SLOW_CALL_MS = 400;

/** Maximum age of the hosts' records, which are read each second. */
const MAX_RECORDS_AGE_MS = 2500;

/** How values are split, joined and dated, by kind. */
export const KINDS: Readonly<Record<SharedKind, KindHandler>> = {
  config: {
    maxAgeMs: ({directMs}) => directMs + SLOW_CALL_MS,
    companion: 'targets',
    split: value => splitConfig(value as RelayConfig),
    join: entries => joinConfig(entries),
    revisionOf: value => (value as RelayConfig).version,
    isIdentifiedByRevision: true,
    maxChangedChars: 16 * 1024,
  },
  targets: {
    maxAgeMs: ({directMs}) => directMs + SLOW_CALL_MS,
    companion: 'config',
    split: value => (value as TargetList).entries.map(entry => [entry.id, entry]),
    join: (entries, revision, era) => ({entries: [...entries.values()], era, revision}),
    revisionOf: value => (value as TargetList).revision,
    eraOf: value => (value as TargetList).era,
  },
  evacuations: {
    maxAgeMs: ({directMs}) => directMs + SLOW_CALL_MS,
    split: value =>
      (value as EvacuationList).evacuations.map(item => [item.failureDomain, item] as const),
    join: (entries, revision, era) => ({evacuations: [...entries.values()], era, revision}),
    revisionOf: value => (value as EvacuationList).revision,
    eraOf: value => (value as EvacuationList).era,
  },
  hosts: {
    maxAgeMs: () => MAX_RECORDS_AGE_MS,
    companion: 'beats',
    split: value => splitHosts(value as SharedHosts),
    join: entries => joinHosts(entries),
  },
  beats: {
    maxAgeMs: () => MAX_RECORDS_AGE_MS,
    companion: 'hosts',
    split: value => (value as readonly HostHeartbeat[]).map(beat => [beat.hostId, beat]),
    join: entries => [...entries.values()],
  },
};
