import {ClientDuplexStream, ServerDuplexStream} from '@grpc/grpc-js';
import {HostId} from '@radishgw/core';
import {ConfirmReserveRequest, ConfirmReserveResponse} from '@radishgw/limits';
import * as protocol from '@radishgw/protocol';
import {PeerClients} from '../inner/peer-clients.js';
import {
  decodeConfirmRequest,
  decodeConfirmResponse,
  encodeConfirmRequest,
  encodeConfirmResponse,
} from './limit-messages.js';
import {OwnedShards} from './owned-shards.js';

type ResponseCallback = (response: ConfirmReserveResponse | undefined) => void;

interface OwnerStream {
  readonly stream: ClientDuplexStream<protocol.ConfirmReserveRequest, protocol.ConfirmReserveReply>;
  /** The latest unanswered request of each shard. */
  readonly pending: Map<number, {readonly sequence: number; readonly respond: ResponseCallback}>;
}

/**
 * Sends reserve confirmations to other hosts, over one stream per owner. Each placement host
 * confirms each shard about once a second, and a message on an open stream costs a fraction of a
 * unary call.
 */
export class ReserveConfirmationClient {
  private readonly streams = new Map<HostId, OwnerStream>();

  constructor(private readonly clients: PeerClients) {}

  /**
   * Resolves with the owner's response; undefined if the owner isn't a member, the stream ended, or
   * a later request for the shard replaced this one.
   */
  send(
    ownerId: HostId,
    request: ConfirmReserveRequest,
  ): Promise<ConfirmReserveResponse | undefined> {
    const owner = this.open(ownerId);
    if (!owner) return Promise.resolve(undefined);
    return new Promise(resolve => {
      const {shard, sequence} = request;
      owner.pending.get(shard)?.respond(undefined);
      owner.pending.set(shard, {sequence, respond: resolve});
      owner.stream.write(encodeConfirmRequest(request));
    });
  }

  private open(ownerId: HostId): OwnerStream | undefined {
    const existing = this.streams.get(ownerId);
    if (existing) return existing;
    const stream = this.clients.confirmReserves(ownerId);
    if (!stream) return undefined;
    const owner: OwnerStream = {stream, pending: new Map()};
    this.streams.set(ownerId, owner);
    stream.on('data', (reply: protocol.ConfirmReserveReply) => {
      const request = owner.pending.get(reply.shard);
      if (request?.sequence !== reply.requestSequence) return;
      owner.pending.delete(reply.shard);
      request.respond(reply.response && decodeConfirmResponse(reply.response));
    });
    const close = () => this.close(ownerId, owner);
    stream.on('error', close);
    stream.on('end', close);
    return owner;
  }

  private close(ownerId: HostId, owner: OwnerStream): void {
    if (this.streams.get(ownerId) === owner) this.streams.delete(ownerId);
    owner.stream.cancel();
    for (const {respond} of owner.pending.values()) respond(undefined);
    owner.pending.clear();
  }
}

/** Responds to the reserve confirmations on another host's stream. */
export function serveReserveConfirmations(
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
    void owned.confirmReserve(decodeConfirmRequest(request)).then(response => {
      if (!isOpen) return;
      stream.write(
        protocol.create(protocol.ConfirmReserveReplySchema, {
          shard: request.shard,
          requestSequence: request.sequence,
          response: encodeConfirmResponse(response),
        }),
      );
    });
  });
}
