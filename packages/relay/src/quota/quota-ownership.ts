import {FIRST_ERA} from '@radishgw/coordination';
import {HostId, TeamId} from '@radishgw/core';
import {Instant, maxElapsedMs} from '../instant.js';
import {findMostCapable, HostRecord} from '../store/host-registry.js';
import {
  COMPLETION_MS,
  LIST_VALIDITY_MS,
  MIN_SETTLED_BEAT,
  OWNERSHIP_VALIDITY_MS,
  RIGHT_MS,
  TAKEOVER_MS,
} from './quota-times.js';

/** Time for which the set of recent hosts is kept; the hosts leave it later than they have to. */
const RECENT_HOSTS_MS = 500;

/** Number of recent lists of hosts that are kept. */
const MAX_HOST_LISTS = 8;

interface HostList {
  readonly hosts: readonly HostRecord[];
  readonly sinceMs: number;
  /** Whether all other hosts had just started for the first time: none of them had been an owner. */
  readonly areOthersNew: boolean;
}

/** The owner of a team by the newest list, and how it was chosen. */
interface Choice {
  readonly owner: HostRecord;
  readonly sinceMs: number;
  readonly areOthersNew: boolean;
  /** The owner before, if it is still listed. */
  readonly previous: HostRecord | undefined;
}

/** Since when a host may grant a team's quota as its owner. */
export interface Ownership {
  readonly sinceMs: number;
  /** Whether there may have been another owner before. */
  readonly hasPredecessor: boolean;
}

/** Lists of hosts over time, and what follows from them for the owners of teams. */
export class QuotaOwnership {
  /** Newest first. */
  private lists: HostList[] = [];
  private listReadMs = -Infinity;
  private readonly listedUntilMs = new Map<HostId, number>();
  private readonly choices = new Map<TeamId, Choice>();
  /** Ownerships that have been used; they don't start anew while they last. */
  private readonly held = new Map<TeamId, Ownership & {readonly validSinceMs: number}>();
  /** Earlier owners that have stopped to grant a team's quota in favour of this host. */
  private readonly handedOver = new Map<TeamId, HostId>();
  private confirmedAt: Instant | undefined;
  /** Start of the time in which lists and confirmations followed each other without a gap. */
  private validSinceMs = -Infinity;
  /** Whether there was a gap, in which another host may have become the owner. */
  private hadGap = false;
  private recent: {readonly atMs: number; readonly hosts: ReadonlySet<HostId>} | undefined;
  /** Era of the store in which this host has started; undefined before its first list. */
  private era: number | undefined;
  private firstReadMs = -Infinity;
  /** Whether the store came back from a copy, which may lack hosts that haven't written again. */
  private mayLackHosts = false;
  /** Whether all hosts have had time to write their records since the store came back. */
  private isSettled = false;
  /** Whether a list that may have lacked hosts had one that isn't new. */
  private hadEarlierHosts = false;

  constructor(private readonly self: HostId) {}

  get hosts(): readonly HostRecord[] {
    return this.lists.at(0)?.hosts ?? [];
  }

  /** Whether the whole fleet had just started for the first time at the newest list. */
  get areOthersNew(): boolean {
    return this.lists.at(0)?.areOthersNew ?? true;
  }

  /** Applies a new list of hosts. */
  setHosts(hosts: readonly HostRecord[], nowMs: number): void {
    for (const {hostId} of this.hosts) this.listedUntilMs.set(hostId, nowMs);
    for (const [hostId, untilMs] of this.listedUntilMs) {
      if (nowMs - untilMs >= RIGHT_MS) this.listedUntilMs.delete(hostId);
    }
    // A record of an earlier era may be an old one that a copy of the store has brought back.
    const era = Math.max(this.era ?? 0, ...hosts.map(host => host.era ?? 0));
    const areOthersNew = hosts.every(
      host => host.hostId === this.self || (isNew(host) && (host.era ?? 0) === era),
    );
    this.lists = [{hosts, sinceMs: nowMs, areOthersNew}, ...this.lists].slice(0, MAX_HOST_LISTS);
    this.recent = undefined;
    this.judgeCompleteness();
    this.hadEarlierHosts ||= !areOthersNew && !this.isComplete(nowMs);
    for (const [team, choice] of this.choices) this.renewChoice(team, choice);
  }

  /** Records that the list of hosts was current at `readMs`, in an era of the store. */
  confirmList(readMs: number, nowMs: number, era = 0): void {
    if (this.era === undefined || (era > this.era && !this.isComplete(nowMs))) {
      this.era = era;
      this.firstReadMs = readMs;
      this.judgeCompleteness();
    }
    if (readMs - this.listReadMs >= LIST_VALIDITY_MS) {
      if (this.listReadMs > -Infinity) this.hadGap = true;
      this.validSinceMs = nowMs;
    }
    this.listReadMs = readMs;
  }

  /** Whether the list of hosts has all that may be the owner of a team. */
  isComplete(nowMs: number): boolean {
    return nowMs >= this.completeMs;
  }

  /** Records that the store accepted this host's record, which was sent at `sentAt`. */
  confirmRecord(sentAt: Instant, now: Instant): void {
    const {confirmedAt} = this;
    if (confirmedAt && maxElapsedMs(confirmedAt, now) >= OWNERSHIP_VALIDITY_MS) this.interrupt();
    if (!this.confirmedAt) this.validSinceMs = now.monotonicMs;
    this.confirmedAt = sentAt;
  }

  /** Records that this host is no longer listed, so that another one may become the owner. */
  interrupt(): void {
    if (!this.confirmedAt) return;
    this.confirmedAt = undefined;
    this.hadGap = true;
  }

  /** Records that the owner before this host grants a team's quota no longer. */
  acceptHandOver(team: TeamId, from: HostId): void {
    this.handedOver.set(team, from);
  }

  /** The host that owns a team's quota when this one doesn't. */
  findSuccessor(team: TeamId): HostRecord | undefined {
    const others = this.hosts.filter(({hostId}) => hostId !== this.self);
    const owner = this.findChoice(team)?.owner;
    return owner && owner.hostId !== this.self ? owner : findMostCapable(others, team);
  }

  /** Hosts that may decide on shares of their own: those that are or were listed lately. */
  recentHosts(nowMs: number): ReadonlySet<HostId> {
    if (this.recent && nowMs - this.recent.atMs < RECENT_HOSTS_MS) return this.recent.hosts;
    const hosts = new Set(this.hosts.map(({hostId}) => hostId));
    for (const [hostId, untilMs] of this.listedUntilMs) {
      if (nowMs - untilMs < RIGHT_MS) hosts.add(hostId);
    }
    this.recent = {atMs: nowMs, hosts};
    return hosts;
  }

  /** Whether the list of hosts is too old to tell the owners. */
  isListOld(nowMs: number): boolean {
    return nowMs - this.listReadMs >= LIST_VALIDITY_MS;
  }

  /**
   * Hosts to ask for a team's quota, in order: its owner and, while that one may not decide yet, the
   * owner before it.
   */
  findOwners(team: TeamId, nowMs: number): readonly HostRecord[] {
    const choice = this.findChoice(team);
    if (!choice) return [];
    const {owner, previous, sinceMs} = choice;
    return previous && nowMs - sinceMs < TAKEOVER_MS ? [owner, previous] : [owner];
  }

  /** The right of this host to grant a team's quota as its owner; undefined if it has none. */
  findOwnership(team: TeamId, now: Instant): Ownership | undefined {
    const choice = this.findChoice(team);
    if (choice?.owner.hostId !== this.self || !this.confirmedAt) return undefined;
    if (this.isListOld(now.monotonicMs)) return undefined;
    if (maxElapsedMs(this.confirmedAt, now) >= OWNERSHIP_VALIDITY_MS) return undefined;
    const {validSinceMs} = this;
    let held = this.held.get(team);
    if (held && held.validSinceMs === validSinceMs && held.sinceMs >= choice.sinceMs) return held;
    const hadGap = this.hadGap && choice.sinceMs <= validSinceMs;
    const {previous} = choice;
    const {completeMs} = this;
    const wasComplete = choice.sinceMs >= completeMs;
    const isStart = choice.areOthersNew && !hadGap && (wasComplete || !this.hadEarlierHosts);
    const isHandedOver = previous !== undefined && previous.hostId === this.handedOver.get(team);
    const hasUnknown = previous !== undefined || !wasComplete;
    const mustWait = !isStart && (hadGap || (hasUnknown && !isHandedOver));
    const waitMs = mustWait ? TAKEOVER_MS : 0;
    // At the start nobody else can have granted since the choice.
    const chosenMs = isStart ? choice.sinceMs : Math.max(choice.sinceMs, validSinceMs);
    const sinceMs = isHandedOver ? chosenMs + waitMs : Math.max(chosenMs + waitMs, completeMs);
    if (now.monotonicMs < sinceMs) return undefined;
    held = {sinceMs, hasPredecessor: !isStart, validSinceMs};
    this.held.set(team, held);
    return held;
  }

  private get completeMs(): number {
    return this.mayLackHosts && !this.isSettled ? this.firstReadMs + COMPLETION_MS : -Infinity;
  }

  private judgeCompleteness(): void {
    const {era} = this;
    if (era === undefined) return;
    // A host that has started in an earlier era shows this, too, whatever the first era is.
    this.mayLackHosts ||=
      era > FIRST_ERA || this.hosts.some(host => host.era !== undefined && host.era < era);
    this.isSettled ||= this.hosts.some(
      host => host.era !== undefined && host.era >= era && host.beat >= MIN_SETTLED_BEAT,
    );
  }

  private findChoice(team: TeamId): Choice | undefined {
    const known = this.choices.get(team);
    if (known || this.lists.length === 0) return known;
    const owner = findMostCapable(this.hosts, team);
    if (!owner) return undefined;
    let chosen = this.lists[0];
    let previousId: HostId | undefined;
    for (const list of this.lists.slice(1)) {
      previousId = findMostCapable(list.hosts, team)?.hostId;
      if (previousId !== owner.hostId) break;
      previousId = undefined;
      chosen = list;
    }
    if (chosen === this.lists.at(-1) && owner.hostId === this.self) {
      // This host has just started; another one was the owner before.
      const others = chosen.hosts.filter(({hostId}) => hostId !== this.self);
      previousId = findMostCapable(others, team)?.hostId;
    }
    const {sinceMs, areOthersNew} = chosen;
    const choice = {owner, sinceMs, areOthersNew, previous: this.findListed(previousId)};
    this.choices.set(team, choice);
    return choice;
  }

  /** Applies the newest list to the choice of a team's owner. */
  private renewChoice(team: TeamId, choice: Choice): void {
    const owner = findMostCapable(this.hosts, team);
    if (!owner) {
      this.choices.delete(team);
      return;
    }
    const isSame = owner.hostId === choice.owner.hostId;
    if (!isSame && owner.hostId !== this.self) this.handedOver.delete(team);
    const {sinceMs, areOthersNew} = isSame ? choice : this.lists[0];
    const previous = this.findListed((isSame ? choice.previous : choice.owner)?.hostId);
    this.choices.set(team, {owner, sinceMs, areOthersNew, previous});
  }

  private findListed(hostId: HostId | undefined): HostRecord | undefined {
    return this.hosts.find(host => host.hostId === hostId);
  }
}

/** Whether a host has started for the first time, so recently that it can't have been an owner. */
function isNew({generation, beat, madeMs}: HostRecord): boolean {
  return generation === 1 && beat > 0 && madeMs < TAKEOVER_MS;
}
