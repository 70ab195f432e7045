import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Bytes that are read between two checks. */
const CHECK_BYTES = 4 * 1024 * 1024;

/** Bytes of buffers beyond those held at which garbage is collected. */
const MAX_GARBAGE_BYTES = 12 * 1024 * 1024;

/**
 * Collects the buffers of chunks that have been read, in which V8 sees no need for it before they
 * have over 64 MiB. Small hosts don't have that much to spare.
 */
export class ReadBuffers {
  private uncheckedBytes = 0;
  private collect: (() => void) | undefined;

  /**
   * `heldBytes` returns the bytes of buffers that are in use; `isShort` says whether memory is short.
   * A collection takes milliseconds, which ordinary traffic isn't slowed by.
   */
  constructor(
    private readonly heldBytes: () => number,
    private readonly isShort: () => boolean,
  ) {}

  /** Counts a chunk that has been read. */
  count(bytes: number): void {
    this.uncheckedBytes += bytes;
    if (this.uncheckedBytes < CHECK_BYTES) return;
    this.uncheckedBytes = 0;
    if (!this.isShort()) return;
    if (process.memoryUsage().arrayBuffers - this.heldBytes() < MAX_GARBAGE_BYTES) return;
    this.collect ??= findCollector();
    this.collect();
  }
}

function findCollector(): () => void {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  setFlagsFromString('--no-expose-gc');
  return collect;
}
