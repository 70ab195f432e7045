import {CONFIG_PREFIX, ConfigError, ConfigStore, Freshness} from '@radishgw/config';
import {
  call,
  Clock,
  EffectHandlers,
  EventLog,
  FailureDomain,
  hash32,
  HostId,
  Procedure,
  sleep,
  startTask,
} from '@radishgw/core';
import {HostSession, Member, Membership, Platform, PlatformEvent} from '@radishgw/coordination';
import {ConfigUpdate, create, SubscribeConfigRequestSchema} from '@radishgw/protocol';
import {ConfigFeed} from './inner/config-feed.js';
import {PeerClients} from './inner/peer-clients.js';

/** Bounds the age of a confirmation, see `DEFAULT_FRESHNESS`. */
const WATCH_WAIT_MS = 1000;
const RETRY_DELAY_MS = 500;
const RELAYS_PER_DOMAIN = 2;
/** In a failure domain with fewer hosts all of them watch the platform. */
const MIN_HOSTS_FOR_RELAYS = 3;

/** Hosts of a failure domain that watch the platform; the others subscribe to them. */
export function chooseRelays(members: readonly Member[], domain: FailureDomain): HostId[] {
  const local = members.filter(member => member.failureDomain === domain && !member.leaving);
  if (local.length < MIN_HOSTS_FOR_RELAYS) return local.map(member => member.hostId);
  return local
    .map(member => ({hostId: member.hostId, score: hash32(`relay/${member.hostId}`)}))
    .sort((a, b) => a.score - b.score || (a.hostId < b.hostId ? -1 : 1))
    .slice(0, RELAYS_PER_DOMAIN)
    .map(entry => entry.hostId);
}

/** What keeping the configuration current needs. */
export interface ConfigSyncServices {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly handlers: EffectHandlers;
  readonly log: EventLog;
  readonly session: HostSession;
  readonly membership: Membership;
  readonly config: ConfigStore;
  readonly freshness: Freshness;
  readonly feed: ConfigFeed;
  readonly clients: PeerClients;
  readonly failureDomain: FailureDomain;
  isReachable(hostId: HostId): boolean;
  /** Called after objects were applied. */
  onChanged(): void;
}

/** Keeps the configuration of this host current, from the platform or from a relay. */
export class ConfigSync {
  private loaded = false;
  private highestSeen = 0;
  private catchingUp = false;

  constructor(private readonly services: ConfigSyncServices) {}

  /** Whether everything that was seen to exist has been applied. */
  isComplete(): boolean {
    return this.loaded && this.services.config.completeRevision >= this.highestSeen;
  }

  /** Loads the configuration and follows its changes until cancelled. */
  *run(): Procedure<never> {
    for (;;) {
      if (!this.loaded) yield* this.load();
      const relay = this.findRelay();
      if (relay === undefined) yield* this.watchOnce();
      else yield* this.followPeer(relay, () => this.findRelay() === relay);
    }
  }

  /** Fetches what a peer knows and this host lacks, beside the usual source. */
  catchUpFrom(hostId: HostId, revision: number): void {
    this.highestSeen = Math.max(this.highestSeen, revision);
    if (this.catchingUp) return;
    this.catchingUp = true;
    const {config, handlers} = this.services;
    const task = startTask(
      this.followPeer(hostId, () => config.completeRevision < this.highestSeen),
      handlers,
    );
    void task.done.finally(() => {
      this.catchingUp = false;
    });
  }

  /** A relay to subscribe to; undefined if this host is to watch the platform itself. */
  private findRelay(): HostId | undefined {
    const {membership, session, failureDomain, isReachable} = this.services;
    const relays = chooseRelays(membership.members(), failureDomain);
    if (relays.includes(session.hostId)) return undefined;
    return relays.find(hostId => isReachable(hostId));
  }

  private *load(): Procedure<void> {
    const {platform, config} = this.services;
    const answer = yield* call(() => platform.list(CONFIG_PREFIX));
    if (answer.err) {
      yield* sleep(RETRY_DELAY_MS);
      return;
    }
    this.noteErrors(config.applySnapshot(answer.val));
    for (const object of answer.val.objects) {
      this.services.feed.publish({...object, removed: false});
    }
    this.loaded = true;
    this.finishStep();
  }

  private *watchOnce(): Procedure<void> {
    const {platform, config} = this.services;
    const after = config.completeRevision;
    const answer = yield* call(() => platform.watch(CONFIG_PREFIX, after, WATCH_WAIT_MS));
    if (answer.err) {
      yield* sleep(RETRY_DELAY_MS);
      return;
    }
    if (answer.val.compacted) {
      this.loaded = false;
      return;
    }
    for (const event of answer.val.events) this.apply(event);
    config.confirmRevision(answer.val.revision);
    this.confirmByRenewal();
    this.finishStep();
  }

  /**
   * A read may lag behind the store, but the session's renewal is a write: once everything up to
   * its revision is applied, nothing that was accepted before it was sent is missing.
   */
  private confirmByRenewal(): void {
    const {session, config, freshness} = this.services;
    const renewal = session.lastRenewal;
    if (renewal && renewal.revision <= config.completeRevision) {
      freshness.confirm(renewal.sentAtMs);
    }
  }

  /** Applies the updates of a peer while `isWanted` holds and the stream lasts. */
  private *followPeer(hostId: HostId, isWanted: () => boolean): Procedure<void> {
    const {clients, config} = this.services;
    const stream = clients.subscribeConfig(
      hostId,
      create(SubscribeConfigRequestSchema, {afterRevision: config.completeRevision}),
    );
    if (!stream) {
      yield* sleep(RETRY_DELAY_MS);
      return;
    }
    stream.on('error', () => undefined);
    const updates = stream[Symbol.asyncIterator]() as AsyncIterator<ConfigUpdate>;
    try {
      while (isWanted()) {
        const next = yield* call(() => updates.next().catch(() => undefined));
        if (!next || next.done) {
          yield* sleep(RETRY_DELAY_MS);
          return;
        }
        for (const object of next.value.objects) this.apply(object);
        if (next.value.revision > 0) config.confirmRevision(next.value.revision);
        this.finishStep();
      }
    } finally {
      stream.cancel();
    }
  }

  private apply(event: PlatformEvent): void {
    const {config, log, feed} = this.services;
    const outcome = config.applyEvent(event);
    if (outcome.err) this.noteErrors([outcome.val]);
    else if (outcome.val) log.write('configApplied', {key: event.key, revision: event.revision});
    feed.publish(event);
  }

  private noteErrors(errors: readonly ConfigError[]): void {
    for (const error of errors) this.services.log.write('configRejected', {...error});
  }

  private finishStep(): void {
    const {clock, config, freshness, membership, session, feed, onChanged} = this.services;
    session.setAppliedRevision(config.completeRevision);
    freshness.setKnownHosts(
      membership.members().filter(member => !member.leaving),
      clock.nowMs(),
    );
    feed.publishProgress();
    onChanged();
  }
}
