import {PlatformEvent, PlatformObject, Revision} from '@radishgw/coordination';

interface Waiter {
  readonly prefix: string;
  readonly notify: () => void;
}

/** In-memory store of versioned objects with one increasing revision, like the platform's store. */
export class ObjectStore {
  private readonly objects = new Map<string, PlatformObject>();
  private readonly history: PlatformEvent[] = [];
  private readonly waiters = new Set<Waiter>();
  private currentRevision: Revision = 0;

  get revision(): Revision {
    return this.currentRevision;
  }

  get(key: string): PlatformObject | undefined {
    return this.objects.get(key);
  }

  list(prefix: string): PlatformObject[] {
    return [...this.objects.values()].filter(object => object.key.startsWith(prefix));
  }

  /** Writes an object if the condition holds; otherwise returns its current revision. */
  put(key: string, value: string, ifRevision?: Revision): {ok: boolean; revision: Revision} {
    const existing = this.objects.get(key)?.revision ?? 0;
    if (ifRevision !== undefined && ifRevision !== existing) return {ok: false, revision: existing};
    const object = {key, value, revision: ++this.currentRevision};
    this.objects.set(key, object);
    this.recordEvent({...object, removed: false});
    return {ok: true, revision: object.revision};
  }

  remove(key: string, ifRevision?: Revision): {ok: boolean; revision: Revision} {
    const existing = this.objects.get(key)?.revision ?? 0;
    if (ifRevision !== undefined && ifRevision !== existing) return {ok: false, revision: existing};
    if (existing === 0) return {ok: true, revision: this.currentRevision};
    this.objects.delete(key);
    this.recordEvent({key, value: '', revision: ++this.currentRevision, removed: true});
    return {ok: true, revision: this.currentRevision};
  }

  eventsAfter(prefix: string, revision: Revision): PlatformEvent[] {
    return this.history.filter(event => event.revision > revision && event.key.startsWith(prefix));
  }

  /** Calls `notify` once at the next change under `prefix`; returns a function that cancels this. */
  waitForChange(prefix: string, notify: () => void): () => void {
    const waiter = {prefix, notify};
    this.waiters.add(waiter);
    return () => this.waiters.delete(waiter);
  }

  private recordEvent(event: PlatformEvent): void {
    this.history.push(event);
    for (const waiter of [...this.waiters]) {
      if (!event.key.startsWith(waiter.prefix)) continue;
      this.waiters.delete(waiter);
      waiter.notify();
    }
  }
}
