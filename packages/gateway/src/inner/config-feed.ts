import {ServerWritableStream} from '@grpc/grpc-js';
import {ConfigStore} from '@radishgw/config';
import {PlatformEvent} from '@radishgw/coordination';
import {ConfigUpdate, ConfigUpdateSchema, create, SubscribeConfigRequest} from '@radishgw/protocol';

/** Objects of one update at most, which keeps messages well below a megabyte for usual teams. */
const OBJECTS_PER_UPDATE = 200;

type Subscriber = ServerWritableStream<SubscribeConfigRequest, ConfigUpdate>;

/** Passes the configuration of this host on to others, as it was received. */
export class ConfigFeed {
  private readonly objects = new Map<string, PlatformEvent>();
  private readonly subscribers = new Set<Subscriber>();

  constructor(private readonly config: ConfigStore) {}

  /** Keeps an applied change and sends it to all subscribers. */
  publish(event: PlatformEvent): void {
    const known = this.objects.get(event.key);
    if (known && known.revision >= event.revision) return;
    this.objects.set(event.key, event);
    for (const subscriber of this.subscribers) this.send(subscriber, [event]);
  }

  /** Tells subscribers how far the configuration is complete. */
  publishProgress(): void {
    for (const subscriber of this.subscribers) this.send(subscriber, []);
  }

  /** Serves a subscription: what is newer than its revision, then changes as they come. */
  subscribe(subscriber: Subscriber): void {
    const after = subscriber.request.afterRevision;
    const newer = [...this.objects.values()]
      .filter(event => event.revision > after)
      .sort((a, b) => a.revision - b.revision);
    for (let i = 0; i < newer.length; i += OBJECTS_PER_UPDATE) {
      const isLast = i + OBJECTS_PER_UPDATE >= newer.length;
      this.send(subscriber, newer.slice(i, i + OBJECTS_PER_UPDATE), isLast);
    }
    if (newer.length === 0) this.send(subscriber, []);
    this.subscribers.add(subscriber);
    const remove = () => this.subscribers.delete(subscriber);
    subscriber.on('cancelled', remove);
    subscriber.on('error', remove);
    subscriber.on('close', remove);
  }

  countSubscribers(): number {
    return this.subscribers.size;
  }

  /** Ends all subscriptions; part of a planned stop. */
  close(): void {
    for (const subscriber of this.subscribers) subscriber.end();
    this.subscribers.clear();
  }

  private send(subscriber: Subscriber, events: readonly PlatformEvent[], isComplete = true): void {
    subscriber.write(
      create(ConfigUpdateSchema, {
        objects: events.map(({key, revision, value, removed}) => ({key, revision, value, removed})),
        revision: isComplete ? this.config.completeRevision : 0,
      }),
    );
  }
}
