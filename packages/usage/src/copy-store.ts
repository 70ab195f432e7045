import {Err, HostId, Ok, Result, SessionId} from '@radishgw/core';
import {UsagePush, UsagePushAnswer, UsagePushError} from './types.js';
import {UsageStream} from './usage-stream.js';

/** Copies of other hosts' increments, forwarded to the shard owners if those hosts are lost. */
export class CopyStore {
  private readonly streams = new Map<string, UsageStream>();
  private closed = false;

  /** Merges a push with `copy` set. */
  accept(push: UsagePush): Result<UsagePushAnswer, UsagePushError> {
    if (this.closed) return Err({kind: 'notOwner'});
    const key = `${push.sessionId}/${push.shard}`;
    const stream = this.streams.get(key) ?? createStream(push);
    this.streams.set(key, stream);
    return Ok({acknowledgedSequence: stream.merge(push), frozenSequence: 0});
  }

  /** Refuses further pushes: a stopping host must not acknowledge increments it would lose. */
  close(): void {
    this.closed = true;
  }

  get isClosed(): boolean {
    return this.closed;
  }

  listStreams(): UsageStream[] {
    return [...this.streams.values()];
  }

  /** Returns the streams of ended sessions, and removes those of them that are empty. */
  listOrphans(isEnded: (hostId: HostId, sessionId: SessionId) => boolean): UsageStream[] {
    const orphans: UsageStream[] = [];
    for (const [key, stream] of this.streams) {
      if (!isEnded(stream.hostId, stream.sessionId)) continue;
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
