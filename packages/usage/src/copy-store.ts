import {Err, HostId, Ok, Result, SessionId} from '@radishgw/core';
import {UsagePush, UsagePushAnswer, UsagePushError} from './types.js';
import {UsageStream} from './usage-stream.js';

/** Copies of other hosts' increments, to be passed on if those hosts are lost. */
export class CopyStore {
  private readonly streams = new Map<string, UsageStream>();
  private closed = false;

  /** Takes in a push with `copy`. */
  accept(push: UsagePush): Result<UsagePushAnswer, UsagePushError> {
    if (this.closed) return Err({kind: 'notOwner'});
    const key = `${push.sessionId}/${push.shard}`;
    const stream = this.streams.get(key) ?? createStream(push);
    this.streams.set(key, stream);
    return Ok({acknowledgedSequence: stream.merge(push), frozenSequence: 0});
  }

  /** Takes no more pushes; a host that is about to stop must not acknowledge what it would lose. */
  close(): void {
    this.closed = true;
  }

  get isClosed(): boolean {
    return this.closed;
  }

  /** All copies. */
  all(): UsageStream[] {
    return [...this.streams.values()];
  }

  /** Streams of sessions that are over; empty ones of these are dropped. */
  orphans(isOver: (hostId: HostId, sessionId: SessionId) => boolean): UsageStream[] {
    const orphans: UsageStream[] = [];
    for (const [key, stream] of this.streams) {
      if (!isOver(stream.hostId, stream.sessionId)) continue;
      if (stream.isEmpty) this.streams.delete(key);
      else orphans.push(stream);
    }
    return orphans;
  }
}

function createStream({hostId, sessionId, shard, settledSequence}: UsagePush): UsageStream {
  const stream = new UsageStream(hostId, sessionId, shard);
  stream.settle(settledSequence);
  return stream;
}
