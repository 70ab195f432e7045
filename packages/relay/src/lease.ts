import {HostId} from '@radishgw/core';
import {Instant, maxElapsedMs} from './instant.js';

/** Times of a lease, in milliseconds. */
export interface LeaseTimes {
  /** Time after sending its latest successful renewal at which a holder stops acting. */
  readonly holdMs: number;
  /** Time without a change of the record after which another host takes over. */
  readonly takeoverMs: number;
}

/** The record of a lease in the store. */
export interface LeaseRecord {
  readonly holder: HostId;
  /** Incarnation of the holder's process. */
  readonly incarnation: string;
  /** Fencing token; increases with each change of holder. */
  readonly term: number;
  /** Increases with each renewal, so that the record changes. */
  readonly renewal: number;
}

/** This host's view of a lease. */
export interface LeaseView {
  record: LeaseRecord | undefined;
  /** Revision of the record; 0 if there is none. */
  revision: number;
  /** Time at which this host first saw this revision. */
  seenAt: Instant | undefined;
  /** Time at which the current renewal was sent; undefined if this host isn't the holder. */
  renewedAt: Instant | undefined;
}

export function createLeaseView(): LeaseView {
  return {record: undefined, revision: 0, seenAt: undefined, renewedAt: undefined};
}

/** Applies a read of the record. */
export function observeLease(
  view: LeaseView,
  record: LeaseRecord | undefined,
  revision: number,
  now: Instant,
): void {
  if (view.seenAt && revision === view.revision) return;
  const isOwn = view.record && record && isSameHolder(view.record, record);
  if (!isOwn) view.renewedAt = undefined;
  view.record = record;
  view.revision = revision;
  view.seenAt = now;
}

function isSameHolder(a: LeaseRecord, b: LeaseRecord): boolean {
  return a.holder === b.holder && a.incarnation === b.incarnation && a.term === b.term;
}

/** Next action for a lease. */
export type LeaseStep =
  {readonly type: 'wait'} | {readonly type: 'write'; readonly record: LeaseRecord};

/** Decides whether to renew the lease, take it over or wait. */
export function decideLease(
  view: LeaseView,
  self: {readonly hostId: HostId; readonly incarnation: string},
  times: LeaseTimes,
  now: Instant,
): LeaseStep {
  const {record} = view;
  if (!view.seenAt) return {type: 'wait'};
  if (record && record.holder === self.hostId && record.incarnation === self.incarnation) {
    return {type: 'write', record: {...record, renewal: record.renewal + 1}};
  }
  const exists = record !== undefined || view.revision > 0;
  if (exists && now.monotonicMs - view.seenAt.monotonicMs < times.takeoverMs) {
    return {type: 'wait'};
  }
  // Each term took a write at least, so that the revision of a record that can't be used is higher
  // than all terms before it.
  const term = (record?.term ?? view.revision) + 1;
  return {
    type: 'write',
    record: {holder: self.hostId, incarnation: self.incarnation, term, renewal: 0},
  };
}

/** Records that the write of `record`, which was sent at `sentAt`, succeeded. */
export function acceptLease(
  view: LeaseView,
  record: LeaseRecord,
  revision: number,
  sentAt: Instant,
): void {
  view.record = record;
  view.revision = revision;
  view.seenAt = sentAt;
  view.renewedAt = sentAt;
}

/** Returns the fencing token if this host may act as the holder at `now`, otherwise undefined. */
export function heldTerm(view: LeaseView, times: LeaseTimes, now: Instant): number | undefined {
  if (!view.renewedAt || !view.record) return undefined;
  return maxElapsedMs(view.renewedAt, now) < times.holdMs ? view.record.term : undefined;
}
