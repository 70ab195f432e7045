import {HostId, Procedure, SessionId, sleep} from '@radishgw/core';
import {CopyStore} from './copy-store.js';
import {UsagePeers} from './types.js';
import {UsageMeter} from './usage-meter.js';
import {UsageStream} from './usage-stream.js';

/** Who receives increments. */
export interface UsageRouting {
  /** Owner of a shard as last known; undefined if none is known. */
  readonly ownerOf: (
    shard: number,
  ) => {readonly hostId: HostId; readonly epoch: number} | undefined;
  /** A live host in another failure domain that keeps this host's copies; undefined if none. */
  readonly copyHost: () => HostId | undefined;
  /** Whether a host session has ended or lapsed. */
  readonly isSessionOver: (hostId: HostId, sessionId: SessionId) => boolean;
}

/**
 * Time between pushes. A crash loses the use since the last push that arrived: this and the way of a
 * push, and one interval more for each push in a row that reached neither receiver.
 */
export const PUSH_INTERVAL_MS = 1000;
const HAND_OVER_POLL_MS = 200;

/** Sends a host's increments to the shard owners and to the host that keeps copies. */
export class UsageSender {
  /** Last acknowledged sequence by receiver, owner's epoch and stream. */
  private acknowledged = new Map<string, number>();

  constructor(
    private readonly peers: UsagePeers,
    private readonly meter: UsageMeter,
    private readonly copies: CopyStore,
    private readonly routing: UsageRouting,
  ) {}

  /** Sends once each interval. */
  *run(): Procedure<never> {
    for (;;) {
      this.sendOnce();
      yield* sleep(PUSH_INTERVAL_MS);
    }
  }

  /**
   * Cuts increments and pushes what each receiver doesn't have yet. The answers aren't waited for:
   * a slow receiver must not put off the next cut, which bounds what a crash loses.
   */
  private sendOnce(): void {
    this.meter.cut();
    const copyHost = this.routing.copyHost();
    for (const stream of this.meter.streams()) {
      void this.pushToOwner(stream);
      if (copyHost) void this.push(stream, copyHost, copyHost, true);
    }
    const orphans = this.copies.orphans(this.routing.isSessionOver);
    for (const stream of orphans) void this.pushToOwner(stream);
    if (!copyHost) return;
    // The copy of a lost host may be the last one, so it is kept on a second host too.
    const endangered = this.copies.isClosed ? this.copies.all() : orphans;
    for (const stream of endangered) void this.push(stream, copyHost, copyHost, true);
  }

  /**
   * Hands all increments and copies to another host that keeps copies; part of a planned stop, in
   * which {@link run} must still go on. True once that host has acknowledged them; false when
   * `isTimeUp`. An owner's acknowledgement doesn't count: it may lose the shard before it freezes.
   */
  *handOver(isTimeUp: () => boolean): Procedure<boolean> {
    this.meter.cut();
    this.copies.close();
    while (!this.isHandedOver()) {
      if (isTimeUp()) return false;
      yield* sleep(HAND_OVER_POLL_MS);
    }
    return true;
  }

  private isHandedOver(): boolean {
    const copyHost = this.routing.copyHost();
    return [...this.meter.streams(), ...this.copies.all()].every(stream => {
      if (stream.isEmpty) return true;
      const marker = `${stream.sessionId}/${stream.shard}/copy/${copyHost}`;
      return (this.acknowledged.get(marker) ?? 0) >= stream.lastSequence;
    });
  }

  private async pushToOwner(stream: UsageStream): Promise<void> {
    const owner = this.routing.ownerOf(stream.shard);
    if (!owner) return;
    // A new owner, also the same host in a new epoch, has none of the earlier owner's increments.
    await this.push(stream, owner.hostId, `${owner.hostId}/${owner.epoch}`, false);
  }

  private async push(
    stream: UsageStream,
    to: HostId,
    receiver: string,
    copy: boolean,
  ): Promise<void> {
    if (stream.isEmpty) return;
    const key = `${stream.sessionId}/${stream.shard}/${copy ? 'copy' : 'owner'}`;
    const marker = `${key}/${receiver}`;
    const acknowledged = this.acknowledged.get(marker) ?? 0;
    const answer = await this.peers.push(to, stream.createPush(acknowledged, copy));
    if (answer.err) return;
    const {acknowledgedSequence, frozenSequence} = answer.val;
    this.forgetOthers(key);
    // The receiver's word counts also when it is lower: it may have started anew.
    this.acknowledged.set(marker, acknowledgedSequence);
    stream.settle(frozenSequence);
  }

  /** Acknowledgements of earlier receivers of a stream are of no use. */
  private forgetOthers(key: string): void {
    for (const marker of this.acknowledged.keys()) {
      if (marker.startsWith(`${key}/`)) this.acknowledged.delete(marker);
    }
  }
}
