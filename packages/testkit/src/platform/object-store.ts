import {PlatformEvent, PlatformObject, Revision} from '@radishgw/coordination';

interface Waiter {
  readonly prefix: string;
  readonly notify: () => void;
}

/** Versioned objects in memory with one rising revision, as the platform's store keeps them. */
export class ObjectStore {
  private readonly objects = new Map<string, PlatformObject>();
  private readonly history: PlatformEvent[] = [];
  private readonly waiters = new Set<Waiter>();
  private current: Revision = 0;

  get revision(): Revision {
    return this.current;
  }

  get(key: string): PlatformObject | undefined {
    return this.objects.get(key);
  }

  list(prefix: string): PlatformObject[] {
    return [...this.objects.values()].filter(object => object.key.startsWith(prefix));
  }

  /** Updates if the condition holds; otherwise returns the object's current revision. */
  put(key: string, value: string, ifRevision?: Revision): {ok: boolean; revision: Revision} {
    const existing = this.objects.get(key)?.revision ?? 0;
    if (ifRevision !== undefined && ifRevision !== existing) return {ok: false, revision: existing};
    const object = {key, value, revision: ++this.current};
    this.objects.set(key, object);
    this.record({...object, removed: false});
    return {ok: true, revision: object.revision};
  }

  remove(key: string, ifRevision?: Revision): {ok: boolean; revision: Revision} {
    const existing = this.objects.get(key)?.revision ?? 0;
    if (ifRevision !== undefined && ifRevision !== existing) return {ok: false, revision: existing};
    if (existing === 0) return {ok: true, revision: this.current};
    this.objects.delete(key);
    this.record({key, value: '', revision: ++this.current, removed: true});
    return {ok: true, revision: this.current};
  }

  eventsAfter(prefix: string, revision: Revision): PlatformEvent[] {
    return this.history.filter(event => event.revision > revision && event.key.startsWith(prefix));
  }

  /** Calls `notify` once at the next change under `prefix`; returns a function that stops waiting. */
  waitForChange(prefix: string, notify: () => void): () => void {
    const waiter = {prefix, notify};
    this.waiters.add(waiter);
    return () => this.waiters.delete(waiter);
  }

  private record(event: PlatformEvent): void {
    this.history.push(event);
    for (const waiter of [...this.waiters]) {
      if (!event.key.startsWith(waiter.prefix)) continue;
      this.waiters.delete(waiter);
      waiter.notify();
    }
  }
}
