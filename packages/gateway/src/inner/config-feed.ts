import {ServerWritableStream} from '@grpc/grpc-js';
import {ConfigStore} from '@radishgw/config';
import {PlatformEvent} from '@radishgw/coordination';
import {ConfigUpdate, ConfigUpdateSchema, create, SubscribeConfigRequest} from '@radishgw/protocol';

/** Keeps messages well below a megabyte for teams of the usual size. */
const MAX_OBJECTS_PER_UPDATE = 200;

type Subscriber = ServerWritableStream<SubscribeConfigRequest, ConfigUpdate>;

/** Relays the configuration objects of this host to subscribed hosts, unchanged. */
export class ConfigFeed {
  private readonly objects = new Map<string, PlatformEvent>();
  private readonly subscribers = new Set<Subscriber>();

  constructor(private readonly config: ConfigStore) {}

  /** Stores an applied change and sends it to all subscribers. */
  publish(event: PlatformEvent): void {
    const existing = this.objects.get(event.key);
    if (existing && existing.revision >= event.revision) return;
    this.objects.set(event.key, event);
    for (const subscriber of this.subscribers) this.send(subscriber, [event]);
  }

  /** Sends subscribers the revision up to which the configuration is complete. */
  publishProgress(): void {
    for (const subscriber of this.subscribers) this.send(subscriber, []);
  }

  /** Sends the objects newer than the subscriber's revision, then each change as it is applied. */
  subscribe(subscriber: Subscriber): void {
    const after = subscriber.request.afterRevision;
    const newer = [...this.objects.values()]
      .filter(event => event.revision > after)
      .sort((a, b) => a.revision - b.revision);
    for (let i = 0; i < newer.length; i += MAX_OBJECTS_PER_UPDATE) {
      const isLast = i + MAX_OBJECTS_PER_UPDATE >= newer.length;
      this.send(subscriber, newer.slice(i, i + MAX_OBJECTS_PER_UPDATE), isLast);
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

  /** Ends all subscriptions on a planned stop. */
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
