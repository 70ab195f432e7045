import {HostId, Procedure, SessionId, sleep} from '@radishgw/core';
import {CopyStore} from './copy-store.js';
import {UsagePeers} from './types.js';
import {UsageMeter} from './usage-meter.js';
import {UsageStream} from './usage-stream.js';

/** Determines the receivers of increments. */
export interface UsageRouting {
  /** Last known owner of a shard; undefined if none is known. */
  readonly ownerOf: (
    shard: number,
  ) => {readonly hostId: HostId; readonly epoch: number} | undefined;
  /** Live host in another failure domain that stores this host's copies; undefined if none. */
  readonly copyHost: () => HostId | undefined;
  /** Whether a host session has ended or expired. */
  readonly isSessionEnded: (hostId: HostId, sessionId: SessionId) => boolean;
}

/**
 * Interval between pushes. A crash loses the usage since the last push that arrived: one interval
 * plus the transit time of a push, and one more interval for each consecutive push that reached
 * neither receiver.
 */
export const PUSH_INTERVAL_MS = 1000;
const HAND_OVER_POLL_MS = 200;

/** Pushes a host's increments to the shard owners and to the host that stores copies. */
export class UsageSender {
  /** Last acknowledged sequence by receiver, owner's epoch and stream. */
  private acknowledged = new Map<string, number>();

  constructor(
    private readonly peers: UsagePeers,
    private readonly meter: UsageMeter,
    private readonly copies: CopyStore,
    private readonly routing: UsageRouting,
  ) {}

  /** Pushes all increments once per interval, until cancelled. */
  *run(): Procedure<never> {
    for (;;) {
      this.pushAll();
      yield* sleep(PUSH_INTERVAL_MS);
    }
  }

  /**
   * Flushes the meter and pushes the increments that each receiver hasn't acknowledged. Responses
   * aren't awaited: a slow receiver must not delay the next flush, which bounds what a crash loses.
   */
  private pushAll(): void {
    this.meter.flush();
    const copyHost = this.routing.copyHost();
    for (const stream of this.meter.listStreams()) {
      void this.pushToOwner(stream);
      if (copyHost) void this.push(stream, copyHost, copyHost, true);
    }
    const orphans = this.copies.listOrphans(this.routing.isSessionEnded);
    for (const stream of orphans) void this.pushToOwner(stream);
    if (!copyHost) return;
    // The copy of a lost host's increments may be the only one, so another host stores it too.
    const underReplicated = this.copies.isClosed ? this.copies.listStreams() : orphans;
    for (const stream of underReplicated) void this.push(stream, copyHost, copyHost, true);
  }

  /**
   * Hands all increments and copies over to another host that stores copies, during a graceful
   * shutdown. {@link run} must keep running meanwhile. Returns true once that host has acknowledged
   * them, or false if `isTimedOut` returns true first. An owner's acknowledgement isn't sufficient,
   * since the owner may lose the shard before it freezes the window.
   */
  *handOver(isTimedOut: () => boolean): Procedure<boolean> {
    this.meter.flush();
    this.copies.close();
    while (!this.isHandedOver()) {
      if (isTimedOut()) return false;
      yield* sleep(HAND_OVER_POLL_MS);
    }
    return true;
  }

  private isHandedOver(): boolean {
    const copyHost = this.routing.copyHost();
    return [...this.meter.listStreams(), ...this.copies.listStreams()].every(stream => {
      if (stream.isEmpty) return true;
      const acknowledgementKey = `${stream.sessionId}/${stream.shard}/copy/${copyHost}`;
      return (this.acknowledged.get(acknowledgementKey) ?? 0) >= stream.lastSequence;
    });
  }

  private async pushToOwner(stream: UsageStream): Promise<void> {
    const owner = this.routing.ownerOf(stream.shard);
    if (!owner) return;
    // A new owner, even the same host in a new epoch, has none of the previous owner's increments.
    await this.push(stream, owner.hostId, `${owner.hostId}/${owner.epoch}`, false);
  }

  private async push(
    stream: UsageStream,
    to: HostId,
    receiver: string,
    copy: boolean,
  ): Promise<void> {
    if (stream.isEmpty) return;
    const streamKey = `${stream.sessionId}/${stream.shard}/${copy ? 'copy' : 'owner'}`;
    const acknowledgementKey = `${streamKey}/${receiver}`;
    const acknowledged = this.acknowledged.get(acknowledgementKey) ?? 0;
    const answer = await this.peers.push(to, stream.createPush(acknowledged, copy));
    if (answer.err) return;
    const {acknowledgedSequence, frozenSequence} = answer.val;
    this.removeAcknowledgements(streamKey);
    // A lower sequence is accepted too, since the receiver may have restarted.
    this.acknowledged.set(acknowledgementKey, acknowledgedSequence);
    stream.settle(frozenSequence);
  }

  /** Removes the acknowledgements of the stream's previous receivers, which no longer apply. */
  private removeAcknowledgements(streamKey: string): void {
    for (const key of this.acknowledged.keys()) {
      if (key.startsWith(`${streamKey}/`)) this.acknowledged.delete(key);
    }
  }
}
