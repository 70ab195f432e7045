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

/**
 * Longest wait of one watch. Freshness is confirmed after each watch, so this bounds the age of a
 * confirmation, see `DEFAULT_FRESHNESS`.
 */
const WATCH_WAIT_MS = 1000;
const RETRY_DELAY_MS = 500;
const RELAYS_PER_DOMAIN = 2;
/** In a failure domain with fewer hosts, every host watches the platform. */
const MIN_HOSTS_FOR_RELAYS = 3;

/** Selects the hosts of a failure domain that watch the platform; the others subscribe to them. */
export function selectRelays(members: readonly Member[], domain: FailureDomain): HostId[] {
  const local = members.filter(member => member.failureDomain === domain && !member.leaving);
  if (local.length < MIN_HOSTS_FOR_RELAYS) return local.map(member => member.hostId);
  return local
    .map(member => ({hostId: member.hostId, score: hash32(`relay/${member.hostId}`)}))
    .sort((a, b) => a.score - b.score || (a.hostId < b.hostId ? -1 : 1))
    .slice(0, RELAYS_PER_DOMAIN)
    .map(entry => entry.hostId);
}

/** Dependencies of {@link ConfigSync}. */
export interface ConfigSyncDependencies {
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

/** Keeps the configuration of this host up to date, from the platform or from a relay. */
export class ConfigSync {
  private isLoaded = false;
  private highestKnownRevision = 0;
  private isCatchingUp = false;

  constructor(private readonly dependencies: ConfigSyncDependencies) {}

  /** Whether all revisions known to this host have been applied. */
  isComplete(): boolean {
    return this.isLoaded && this.dependencies.config.completeRevision >= this.highestKnownRevision;
  }

  /** Loads the configuration and applies its changes until cancelled. */
  *run(): Procedure<never> {
    for (;;) {
      if (!this.isLoaded) yield* this.load();
      const relay = this.findRelay();
      if (relay === undefined) yield* this.watchOnce();
      else yield* this.subscribeToPeer(relay, () => this.findRelay() === relay);
    }
  }

  /** Fetches revisions that this host lacks from a peer, in addition to its regular source. */
  catchUpFrom(hostId: HostId, revision: number): void {
    this.highestKnownRevision = Math.max(this.highestKnownRevision, revision);
    if (this.isCatchingUp) return;
    this.isCatchingUp = true;
    const {config, handlers} = this.dependencies;
    const task = startTask(
      this.subscribeToPeer(hostId, () => config.completeRevision < this.highestKnownRevision),
      handlers,
    );
    void task.done.finally(() => {
      this.isCatchingUp = false;
    });
  }

  /** Returns the relay to subscribe to; undefined if this host should watch the platform itself. */
  private findRelay(): HostId | undefined {
    const {membership, session, failureDomain, isReachable} = this.dependencies;
    const relays = selectRelays(membership.members(), failureDomain);
    if (relays.includes(session.hostId)) return undefined;
    return relays.find(hostId => isReachable(hostId));
  }

  private *load(): Procedure<void> {
    const {platform, config} = this.dependencies;
    const result = yield* call(() => platform.list(CONFIG_PREFIX));
    if (result.err) {
      yield* sleep(RETRY_DELAY_MS);
      return;
    }
    this.logErrors(config.applySnapshot(result.val));
    for (const object of result.val.objects) {
      this.dependencies.feed.publish({...object, removed: false});
    }
    this.isLoaded = true;
    this.publishProgress();
  }

  private *watchOnce(): Procedure<void> {
    const {platform, config} = this.dependencies;
    const after = config.completeRevision;
    const result = yield* call(() => platform.watch(CONFIG_PREFIX, after, WATCH_WAIT_MS));
    if (result.err) {
      yield* sleep(RETRY_DELAY_MS);
      return;
    }
    if (result.val.compacted) {
      this.isLoaded = false;
      return;
    }
    for (const event of result.val.events) this.apply(event);
    config.confirmRevision(result.val.revision);
    this.confirmFreshness();
    this.publishProgress();
  }

  /**
   * Confirms freshness as of the last session renewal. A read may lag behind the store, but a
   * renewal is a write: once everything up to its revision is applied, no change that was accepted
   * before the renewal was sent is missing.
   */
  private confirmFreshness(): void {
    const {session, config, freshness} = this.dependencies;
    const renewal = session.lastRenewal;
    if (renewal && renewal.revision <= config.completeRevision) {
      freshness.confirm(renewal.sentAtMs);
    }
  }

  /** Applies a peer's updates until `shouldContinue` returns false or the stream ends. */
  private *subscribeToPeer(hostId: HostId, shouldContinue: () => boolean): Procedure<void> {
    const {clients, config} = this.dependencies;
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
      while (shouldContinue()) {
        const next = yield* call(() => updates.next().catch(() => undefined));
        if (!next || next.done) {
          yield* sleep(RETRY_DELAY_MS);
          return;
        }
        for (const object of next.value.objects) this.apply(object);
        if (next.value.revision > 0) config.confirmRevision(next.value.revision);
        this.publishProgress();
      }
    } finally {
      stream.cancel();
    }
  }

  private apply(event: PlatformEvent): void {
    const {config, log, feed} = this.dependencies;
    const result = config.applyEvent(event);
    if (result.err) this.logErrors([result.val]);
    else if (result.val) log.write('configApplied', {key: event.key, revision: event.revision});
    feed.publish(event);
  }

  private logErrors(errors: readonly ConfigError[]): void {
    for (const error of errors) this.dependencies.log.write('configRejected', {...error});
  }

  private publishProgress(): void {
    const {clock, config, freshness, membership, session, feed, onChanged} = this.dependencies;
    session.setAppliedRevision(config.completeRevision);
    freshness.setKnownHosts(
      membership.members().filter(member => !member.leaving),
      clock.nowMs(),
    );
    feed.publishProgress();
    onChanged();
  }
}
