import {ClientDuplexStream, ServerDuplexStream} from '@grpc/grpc-js';
import {HostId} from '@radishgw/core';
import {ConfirmReserveRequest, ConfirmReserveResponse} from '@radishgw/limits';
import * as protocol from '@radishgw/protocol';
import {PeerClients} from '../inner/peer-clients.js';
import {decodeConfirm, decodeConfirmed, encodeConfirm, encodeConfirmed} from './limit-messages.js';
import {OwnedShards} from './owned-shards.js';

type Answer = (response: ConfirmReserveResponse | undefined) => void;

interface OwnerStream {
  readonly stream: ClientDuplexStream<protocol.ConfirmReserveRequest, protocol.ConfirmReserveReply>;
  /** The latest request of each shard, until it is answered. */
  readonly pending: Map<number, {readonly sequence: number; readonly answer: Answer}>;
}

/**
 * Confirmations to other hosts. Each placement host confirms each shard about once a second, and a
 * message on an open stream costs a fraction of a call of its own.
 */
export class ConfirmStreams {
  private readonly streams = new Map<HostId, OwnerStream>();

  constructor(private readonly clients: PeerClients) {}

  /** Gives the owner's response; undefined if the stream ended first. */
  send(
    ownerId: HostId,
    request: ConfirmReserveRequest,
  ): Promise<ConfirmReserveResponse | undefined> {
    const owner = this.open(ownerId);
    if (!owner) return Promise.resolve(undefined);
    return new Promise(resolve => {
      const {shard, sequence} = request;
      owner.pending.get(shard)?.answer(undefined);
      owner.pending.set(shard, {sequence, answer: resolve});
      owner.stream.write(encodeConfirm(request));
    });
  }

  private open(ownerId: HostId): OwnerStream | undefined {
    const known = this.streams.get(ownerId);
    if (known) return known;
    const stream = this.clients.confirmReserves(ownerId);
    if (!stream) return undefined;
    const owner: OwnerStream = {stream, pending: new Map()};
    this.streams.set(ownerId, owner);
    stream.on('data', (reply: protocol.ConfirmReserveReply) => {
      const request = owner.pending.get(reply.shard);
      if (request?.sequence !== reply.requestSequence) return;
      owner.pending.delete(reply.shard);
      request.answer(reply.response && decodeConfirmed(reply.response));
    });
    const close = () => this.close(ownerId, owner);
    stream.on('error', close);
    stream.on('end', close);
    return owner;
  }

  private close(ownerId: HostId, owner: OwnerStream): void {
    if (this.streams.get(ownerId) === owner) this.streams.delete(ownerId);
    owner.stream.cancel();
    for (const {answer} of owner.pending.values()) answer(undefined);
    owner.pending.clear();
  }
}

/** Answers the confirmations of another host. */
export function serveConfirmations(
  owned: OwnedShards,
  stream: ServerDuplexStream<protocol.ConfirmReserveRequest, protocol.ConfirmReserveReply>,
): void {
  let isOpen = true;
  const close = () => {
    isOpen = false;
  };
  stream.on('cancelled', close);
  stream.on('error', close);
  stream.on('end', () => {
    close();
    stream.end();
  });
  stream.on('data', (request: protocol.ConfirmReserveRequest) => {
    void owned.confirmReserve(decodeConfirm(request)).then(response => {
      if (!isOpen) return;
      stream.write(
        protocol.create(protocol.ConfirmReserveReplySchema, {
          shard: request.shard,
          requestSequence: request.sequence,
          response: encodeConfirmed(response),
        }),
      );
    });
  });
}
