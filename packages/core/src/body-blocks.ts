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
  constructor(private readonly reserve: (bytes: number) => boolean = () => true) {}

  /** Adds a chunk; false if there is no memory for it. */
  push(chunk: Uint8Array): boolean {
    let offset = 0;
    while (offset < chunk.length) {
      const last = this.blocks.at(-1);
      if (!last || this.lastUsedBytes === last.length) {
        if (!this.addBlock(chunk.length - offset)) return false;
        continue;
      }
      const endOffset = Math.min(chunk.length, offset + last.length - this.lastUsedBytes);
      const isWhole = offset === 0 && endOffset === chunk.length;
      last.set(isWhole ? chunk : chunk.subarray(offset, endOffset), this.lastUsedBytes);
      this.lastUsedBytes += endOffset - offset;
      offset = endOffset;
    }
    this.byteCount += chunk.length;
    return true;
  }

  /** Removes and returns the whole body. */
  take(): Buffer {
    const last = this.blocks.pop();
    if (!last) return Buffer.alloc(0);
    const rest = last.subarray(0, this.lastUsedBytes);
    const blocks = this.blocks.splice(0);
    return blocks.length === 0 ? shrink(rest) : Buffer.concat([...blocks, rest]);
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

/** Copies a small part of a block, which would keep the whole block otherwise. */
function shrink(part: Buffer): Buffer {
  if (2 * part.length >= part.buffer.byteLength) return part;
  const copy = Buffer.allocUnsafeSlow(part.length);
  part.copy(copy);
  return copy;
}
