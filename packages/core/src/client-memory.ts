/** Bounds of what a host holds for its clients. */
export interface ClientBounds {
  /** Bytes that are held for requests that haven't been answered, over all clients. */
  readonly memoryBytes: number;
  /** Open connections of clients. */
  readonly connections: number;
  /** Requests on a connection that haven't been answered, at which it isn't read further. */
  readonly pausedRequests: number;
  /** Requests on a connection that haven't been answered, above which it is closed. */
  readonly pendingRequests: number;
}

const MIB = 1024 * 1024;

/** Memory of a host whose settings state none. */
const DEFAULT_MEMORY_MIB = 1024;

/** Descriptors of a host whose settings state none. */
const DEFAULT_FILE_DESCRIPTORS = 4096;

/**
 * Share of a host's memory that is held for clients. The rest is for the program, the answers of
 * targets, and buffers that were read and not yet collected. A process with a share of 0.12 of
 * 220 MiB reached 262 MiB before its buffers were collected early (see `ReadBuffers`).
 */
const MEMORY_SHARE = 0.1;

/** Descriptors for files, pipes and the like. */
const RESERVED_DESCRIPTORS = 200;

/** Share of the other descriptors for clients; the rest is for targets, the store and other hosts. */
const CLIENT_DESCRIPTOR_SHARE = 0.6;
const MIN_CONNECTIONS = 16;

/** Well above what clients send ahead. A read of 64 KiB may hold 3,600 requests. */
const PENDING_REQUESTS = 1000;

/** Share of the pending requests of a connection at which it isn't read further. */
const PAUSED_SHARE = 0.1;

/** Settings of a host from which its bounds follow; all may be missing. */
export interface ClientSettings {
  /** Memory of the host in MiB. */
  readonly memoryMb?: number;
  /** Limit on open descriptors. */
  readonly fileDescriptors?: number;
  /** Memory held for clients in MiB, instead of a share of the host's. */
  readonly clientMemoryMb?: number;
  /** Open connections of clients, instead of a share of the descriptors. */
  readonly clientConnections?: number;
  /** Requests on a connection that haven't been answered. */
  readonly clientPendingRequests?: number;
}

/** Derives the bounds of a host from its settings. */
export function deriveClientBounds({
  memoryMb = DEFAULT_MEMORY_MIB,
  fileDescriptors = DEFAULT_FILE_DESCRIPTORS,
  clientMemoryMb = memoryMb * MEMORY_SHARE,
  clientConnections = (fileDescriptors - RESERVED_DESCRIPTORS) * CLIENT_DESCRIPTOR_SHARE,
  clientPendingRequests = PENDING_REQUESTS,
}: ClientSettings = {}): ClientBounds {
  return {
    memoryBytes: Math.floor(clientMemoryMb * MIB),
    connections: Math.max(MIN_CONNECTIONS, Math.floor(clientConnections)),
    pausedRequests: Math.ceil(clientPendingRequests * PAUSED_SHARE),
    pendingRequests: clientPendingRequests,
  };
}

/** Bytes below which an account isn't evicted, as that would free too little. */
const MIN_EVICTED_BYTES = 16 * 1024;

/** Time without progress that doubles the weight of an account's bytes. */
const STALL_WEIGHT_MS = 100;

/**
 * Bounds the bytes that are held for clients. When they are short, the account that holds the most
 * for the longest time without progress is evicted, until its request is about to run.
 */
export class ClientMemory {
  private usedBytes = 0;
  private readonly evictable = new Set<ClientAccount>();

  constructor(
    readonly maxBytes: number,
    private readonly nowMs: () => number,
  ) {}

  get heldBytes(): number {
    return this.usedBytes;
  }

  /** Opens an account; `onEvict` is called when it has been evicted, and holds nothing any more. */
  open(onEvict: () => void): ClientAccount {
    const account: ClientAccount = new ClientAccount(
      {
        reserve: bytes => this.reserve(account, bytes),
        free: bytes => {
          this.usedBytes -= bytes;
          this.evictable.delete(account);
        },
        keep: () => void this.evictable.delete(account),
      },
      this.nowMs,
      onEvict,
    );
    return account;
  }

  private reserve(account: ClientAccount, bytes: number): boolean {
    if (bytes > this.maxBytes) return false;
    const nowMs = this.nowMs();
    while (this.usedBytes + bytes > this.maxBytes) {
      const victim = this.findVictim(account, bytes, nowMs);
      if (!victim) return false;
      victim.evict();
    }
    this.usedBytes += bytes;
    if (!account.isKept && account.heldBytes + bytes >= MIN_EVICTED_BYTES)
      this.evictable.add(account);
    return true;
  }

  /** The account to be evicted so that another can grow; undefined if that one should be. */
  private findVictim(
    grower: ClientAccount,
    bytes: number,
    nowMs: number,
  ): ClientAccount | undefined {
    // The grower is making progress: its bytes alone weigh.
    let maxWeight = grower.heldBytes + bytes;
    let victim: ClientAccount | undefined;
    for (const account of this.evictable) {
      if (account === grower) continue;
      const stalledMs = Math.max(0, nowMs - account.progressAtMs);
      const weight = account.heldBytes * (1 + stalledMs / STALL_WEIGHT_MS);
      if (weight < maxWeight) continue;
      maxWeight = weight;
      victim = account;
    }
    return victim;
  }
}

/** What an account may do with the shared memory. */
interface SharedMemory {
  reserve(bytes: number): boolean;
  free(bytes: number): void;
  keep(): void;
}

/** Bytes that are held for one request. */
export class ClientAccount {
  /** Bytes that are held. */
  heldBytes = 0;
  /** Time of the latest growth. */
  progressAtMs: number;
  /** Whether the account can't be evicted any more. */
  isKept = false;
  private isClosed = false;

  constructor(
    private readonly memory: SharedMemory,
    private readonly nowMs: () => number,
    private readonly onEvict: () => void,
  ) {
    this.progressAtMs = nowMs();
  }

  /** Holds more bytes; false, without an effect, if there is no memory or the account is closed. */
  grow(bytes: number): boolean {
    if (this.isClosed || !this.memory.reserve(bytes)) return false;
    this.heldBytes += bytes;
    this.progressAtMs = this.nowMs();
    return true;
  }

  /** Keeps the bytes until they are released: the request is about to run. */
  keep(): void {
    this.isKept = true;
    this.memory.keep();
  }

  /** Frees all bytes and closes the account; later calls have no effect. */
  release(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.memory.free(this.heldBytes);
    this.heldBytes = 0;
  }

  /** Frees all bytes, as others need them more. */
  evict(): void {
    this.release();
    this.onEvict();
  }
}
