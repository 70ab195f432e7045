import {HostId} from '@radishgw/core';
import {Instant, maxElapsedMs} from '../instant.js';

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
  /** Era of the store in which the record was written; missing if the store has only one. */
  readonly era?: number;
  /** Fencing token; increases with each change of holder, also across eras. */
  readonly term: number;
  /** Increases with each renewal, so that the record changes. */
  readonly renewal: number;
}

/**
 * Number of terms of an era: how many revisions it may have. The terms that an older copy of the
 * store has lost can't be known, so that an era has terms of its own.
 */
const TERMS_PER_ERA = 2 ** 36;

/** This host's view of a lease. */
export interface LeaseView {
  /** Latest era in which this host has read the record; undefined before the first read. */
  era: number | undefined;
  record: LeaseRecord | undefined;
  /** Revision of the record; 0 if there is none. */
  revision: number;
  /** Time at which this host first saw this revision. */
  seenAt: Instant | undefined;
  /** Time at which the current renewal was sent; undefined if this host isn't the holder. */
  renewedAt: Instant | undefined;
  /** Time at which this host sent its latest renewal as the holder in an earlier era. */
  heldBeforeAt: Instant | undefined;
  /** Whether the store has come back from an older copy, which may lack the record of a holder. */
  mayLackRecord: boolean;
}

export function createLeaseView(): LeaseView {
  return {
    era: undefined,
    record: undefined,
    revision: 0,
    seenAt: undefined,
    renewedAt: undefined,
    heldBeforeAt: undefined,
    mayLackRecord: false,
  };
}

/** Applies a read of the record in an era of the store; one in an earlier era is ignored. */
export function observeLease(
  view: LeaseView,
  record: LeaseRecord | undefined,
  revision: number,
  now: Instant,
  era = 0,
): void {
  if (view.era !== undefined && era < view.era) return;
  if (view.era !== undefined && era > view.era) {
    view.mayLackRecord = true;
    view.heldBeforeAt = view.renewedAt ?? view.heldBeforeAt;
    view.renewedAt = undefined;
    view.seenAt = undefined;
  }
  view.era = era;
  if (view.seenAt && revision === view.revision) return;
  const isOwn = view.record && record && isSameHolder(view.record, record);
  if (!isOwn) view.renewedAt = undefined;
  view.record = record;
  view.revision = revision;
  view.seenAt = now;
}

function isSameHolder(a: LeaseRecord, b: LeaseRecord): boolean {
  const isSameTerm = a.term === b.term && (a.era ?? 0) === (b.era ?? 0);
  return a.holder === b.holder && a.incarnation === b.incarnation && isSameTerm;
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
  const {record, era = 0} = view;
  if (!view.seenAt) return {type: 'wait'};
  const isOwn = record?.holder === self.hostId && record.incarnation === self.incarnation;
  // A record of an earlier era names a holder that may have had a successor since.
  if (isOwn && (record.era ?? 0) === era) {
    return {type: 'write', record: {...record, renewal: record.renewal + 1}};
  }
  // Nobody can have succeeded this host yet: others wait for that time from its latest renewal on,
  // and anew in each era.
  const isTaken = record?.era !== undefined && record.era === era;
  const isLatestHolder =
    !isTaken &&
    view.heldBeforeAt !== undefined &&
    maxElapsedMs(view.heldBeforeAt, now) < times.takeoverMs;
  const mayHaveHolder = record !== undefined || view.revision > 0 || view.mayLackRecord;
  if (
    mayHaveHolder &&
    !isLatestHolder &&
    now.monotonicMs - view.seenAt.monotonicMs < times.takeoverMs
  ) {
    return {type: 'wait'};
  }
  // The revision of the record that is replaced rises within an era, also if the record can't be used
  // or a late write has brought back an older one.
  const lowest = record ? record.term : view.revision;
  const term = Math.max(lowest, era && era * TERMS_PER_ERA + view.revision) + 1;
  return {
    type: 'write',
    record: {
      holder: self.hostId,
      incarnation: self.incarnation,
      ...(era > 0 && {era}),
      term,
      renewal: 0,
    },
  };
}

/**
 * Records that the write of `record`, which was sent at `sentAt`, succeeded in an era of the store.
 * A write of an earlier era that was carried out late doesn't count: the next read shows it.
 */
export function acceptLease(
  view: LeaseView,
  record: LeaseRecord,
  revision: number,
  sentAt: Instant,
  era = 0,
): void {
  if ((record.era ?? 0) !== era) return;
  view.era = era;
  view.record = record;
  view.revision = revision;
  view.seenAt = sentAt;
  view.renewedAt = sentAt;
}

/** Returns the fencing token if this host may act as the holder at `now`, otherwise undefined. */
export function heldToken(view: LeaseView, times: LeaseTimes, now: Instant): number | undefined {
  if (!view.renewedAt || !view.record) return undefined;
  const isHeld = maxElapsedMs(view.renewedAt, now) < times.holdMs;
  return isHeld ? view.record.term : undefined;
}
