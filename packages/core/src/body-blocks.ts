const MIN_BLOCK_BYTES = 4 * 1024;
const MAX_BLOCK_BYTES = 256 * 1024;

/**
 * Collects a body in few blocks. Each chunk of an HTTP/1.1 body is a `Buffer` of its own, which
 * takes about a hundred bytes beside its content.
 */
export class BodyBlocks {
  private readonly blocks: Buffer[] = [];
  /** Bytes in use of the last block. */
  private lastUsedBytes = 0;
  private capacityBytes = 0;
  /** Bytes of the body so far. */
  byteCount = 0;

  /** `reserve` is called before memory is allocated; false if there is none. */
  constructor(private readonly reserve: (bytes: number) => boolean) {}

  /** Adds a chunk; false if there is no memory for it. */
  push(chunk: Buffer): boolean {
    let offset = 0;
    while (offset < chunk.length) {
      const last = this.blocks.at(-1);
      if (!last || this.lastUsedBytes === last.length) {
        if (!this.addBlock(chunk.length - offset)) return false;
        continue;
      }
      const copied = chunk.copy(last, this.lastUsedBytes, offset);
      offset += copied;
      this.lastUsedBytes += copied;
    }
    this.byteCount += chunk.length;
    return true;
  }

  /** Returns the whole body. */
  take(): Buffer {
    const last = this.blocks.pop();
    if (!last) return Buffer.alloc(0);
    const rest = last.subarray(0, this.lastUsedBytes);
    return this.blocks.length === 0 ? rest : Buffer.concat([...this.blocks, rest]);
  }

  /** Drops all blocks. */
  clear(): void {
    this.blocks.length = 0;
  }

  private addBlock(neededBytes: number): boolean {
    const grownBytes = Math.max(MIN_BLOCK_BYTES, this.capacityBytes, neededBytes);
    const bytes = Math.min(MAX_BLOCK_BYTES, grownBytes);
    if (!this.reserve(bytes)) return false;
    this.blocks.push(Buffer.allocUnsafeSlow(bytes));
    this.capacityBytes += bytes;
    this.lastUsedBytes = 0;
    return true;
  }
}
