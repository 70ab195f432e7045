import {HostId} from '@radishgw/core';
import {Instant, maxElapsedMs} from '../instant.js';
import {CONTACT_MS, INHERITED_MS, RESERVED_MS, RIGHT_MS, SEPARATION_MS} from './quota-times.js';

/**
 * How the owner of a team's quota and the other hosts share its rate. While a host is in touch with
 * the owner it asks for each request. A host that has lost touch decides on its own share, one in as
 * many as there are hosts, and the owner leaves that share out of its own from before. The sum of
 * what all of them grant so never exceeds the limit, whoever hears whom. The load it answers: hosts
 * that are cut off from each other while a team sends many times its rate.
 */

/** Mark in an answer of an owner, which the host sends back with its next call. */
export interface ContactStamp {
  readonly incarnation: string;
  readonly at: Instant;
}

/** What an owner knows of another host that has asked for a team's quota. */
interface Contact {
  /** Time of the last answer. */
  issuedMs: number;
  /** Time of the last answer that the host has received. */
  confirmedAt: Instant | undefined;
  /** Whether the host has given up its right to decide on its own. */
  isReleased: boolean;
}

/** The hosts that have asked an owner for a team's quota since it became the owner. */
export interface OwnerContacts {
  readonly sinceMs: number;
  /** Whether other hosts may have rights that they got from an earlier owner. */
  readonly hasPredecessor: boolean;
  readonly byHost: Map<HostId, Contact>;
}

export function createContacts(sinceMs: number, hasPredecessor: boolean): OwnerContacts {
  return {sinceMs, hasPredecessor, byHost: new Map()};
}

/** Records a call of a host that is answered with a stamp of `now`. */
export function recordContact(
  contacts: OwnerContacts,
  host: HostId,
  confirmedAt: Instant | undefined,
  now: Instant,
): void {
  const contact = contacts.byHost.get(host);
  // A host that can't have a right yet gets it with this answer.
  const isFirst = contact ? contact.isReleased : !mayHaveRights(contacts, now);
  const earlier = isFirst ? now : contact?.confirmedAt;
  const isNewer = confirmedAt && confirmedAt.monotonicMs >= (earlier?.monotonicMs ?? -Infinity);
  contacts.byHost.set(host, {
    issuedMs: now.monotonicMs,
    confirmedAt: isNewer ? confirmedAt : earlier,
    isReleased: false,
  });
}

/** Records that a host has given up its right to decide on its own. */
export function recordRelease(contacts: OwnerContacts, host: HostId, now: Instant): void {
  const contact = {issuedMs: now.monotonicMs, confirmedAt: undefined, isReleased: true};
  contacts.byHost.set(host, contact);
}

/** Counts the hosts whose shares the owner must leave to them; `hosts` are those that may live. */
export function countSeparate(
  contacts: OwnerContacts,
  self: HostId,
  hosts: ReadonlySet<HostId>,
  now: Instant,
): number {
  let count = 0;
  if (mayHaveRights(contacts, now)) {
    for (const host of hosts) if (host !== self && !contacts.byHost.has(host)) count++;
  }
  for (const [host, contact] of contacts.byHost) {
    if (now.monotonicMs - contact.issuedMs >= RESERVED_MS && !hosts.has(host)) {
      contacts.byHost.delete(host);
    } else if (isSeparate(contact, now)) count++;
  }
  return count;
}

function mayHaveRights({hasPredecessor, sinceMs}: OwnerContacts, now: Instant): boolean {
  return hasPredecessor && now.monotonicMs - sinceMs < INHERITED_MS;
}

function isSeparate({issuedMs, confirmedAt, isReleased}: Contact, now: Instant): boolean {
  if (isReleased || now.monotonicMs - issuedMs >= RESERVED_MS) return false;
  return !confirmedAt || maxElapsedMs(confirmedAt, now) >= CONTACT_MS;
}

/** What a host knows of its right to decide on a team's quota without the owner. */
export interface QuotaRight {
  /** Time at which an owner, or this host as the owner, last counted its share; undefined before. */
  grantedAt: Instant | undefined;
  /** Owners that may count this host as in touch, by the time of the last call that they answered. */
  readonly countedMs: Map<HostId, number>;
  /** The newest stamp of each owner. */
  readonly stamps: Map<HostId, ContactStamp>;
  /** Times of the last request of the team and of the last call to an owner. */
  requestedMs: number;
  calledMs: number;
}

export function createRight(nowMs: number): QuotaRight {
  return {
    grantedAt: undefined,
    countedMs: new Map(),
    stamps: new Map(),
    requestedMs: nowMs,
    calledMs: -Infinity,
  };
}

/** Records that an owner has answered a call that was sent at `sentAt`. */
export function recordAnswered(
  right: QuotaRight,
  owner: HostId,
  stamp: ContactStamp,
  sentAt: Instant,
): void {
  right.grantedAt = sentAt;
  right.countedMs.set(owner, sentAt.monotonicMs);
  right.stamps.set(owner, stamp);
}

/** Records that a host isn't the owner, or has ended, so that it doesn't count this host any more. */
export function recordNotOwner(right: QuotaRight, host: HostId): void {
  right.countedMs.delete(host);
  right.stamps.delete(host);
}

/** Time until this host may decide on its own; `Infinity` if it has no right to. */
export function separationDelayMs(right: QuotaRight, now: Instant): number {
  if (!right.grantedAt || maxElapsedMs(right.grantedAt, now) >= RIGHT_MS) return Infinity;
  let delayMs = 0;
  for (const sentMs of right.countedMs.values()) {
    delayMs = Math.max(delayMs, sentMs + SEPARATION_MS - now.monotonicMs);
  }
  return delayMs;
}
