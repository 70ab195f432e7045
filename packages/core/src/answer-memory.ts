/** Memory for bytes of answers that a host buffers, over all of its requests. */
const SHARED_BYTES = 16 * 1024 * 1024;

/** Bytes of each buffer that don't count towards the shared memory; most answers are smaller. */
const UNSHARED_BYTES = 16 * 1024;

/**
 * Bounds the bytes of answers that are buffered at the same time. Each buffer may hold a small
 * answer in any case, so that large ones don't fail the others.
 */
export class AnswerMemory {
  private usedBytes = 0;

  constructor(private readonly maxBytes = SHARED_BYTES) {}

  /** Bytes in use, beyond those that each buffer may hold in any case. */
  get sharedBytes(): number {
    return this.usedBytes;
  }

  open(): AnswerBuffer {
    return new AnswerBuffer(change => {
      if (change > 0 && this.usedBytes + change > this.maxBytes) return false;
      this.usedBytes += change;
      return true;
    });
  }
}

/** The bytes that are buffered for one request. */
export class AnswerBuffer {
  private sharedBytes = 0;

  /** `takeShared` changes the use of the shared memory; false if it would be exceeded. */
  constructor(private readonly takeShared: (changeBytes: number) => boolean) {}

  /** Sets the number of buffered bytes; false, without an effect, if there is no memory for them. */
  resize(bytes: number): boolean {
    const sharedBytes = Math.max(0, bytes - UNSHARED_BYTES);
    if (!this.takeShared(sharedBytes - this.sharedBytes)) return false;
    this.sharedBytes = sharedBytes;
    return true;
  }
}
