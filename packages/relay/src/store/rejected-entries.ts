import {EventLog} from '@radishgw/core';

/** Maximum number of entries whose rejection is remembered, so that each is logged once. */
const MAX_REMEMBERED = 5000;

/** Entries of the store that can't be used; each is logged once with its key and the reason. */
export class RejectedEntries {
  private readonly causes = new Map<string, string>();

  constructor(private readonly log: EventLog) {}

  /** Number of entries that can't be used now. */
  get count(): number {
    return this.causes.size;
  }

  /** Records that an entry can't be used. */
  reject(key: string, cause: string): void {
    if (this.causes.get(key) === cause) return;
    if (this.causes.size >= MAX_REMEMBERED) return;
    this.causes.set(key, cause);
    this.log.write('entryRejected', {key, cause});
  }

  /** Records that an entry can be used. */
  accept(key: string): void {
    this.causes.delete(key);
  }

  /** Forgets the entries of a kind that aren't listed any more. */
  retain(prefix: string, keys: ReadonlySet<string>): void {
    for (const key of this.causes.keys()) {
      if (key.startsWith(prefix) && !keys.has(key)) this.causes.delete(key);
    }
  }
}
