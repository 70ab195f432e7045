import {
  ChannelCredentials,
  Client,
  ClientDuplexStream,
  ClientReadableStream,
  MethodDefinition,
} from '@grpc/grpc-js';
import {Err, HostId, Ok, Result} from '@radishgw/core';
import {Member} from '@radishgw/coordination';
import {ConfirmReserveReply, ConfirmReserveRequest, INNER_SERVICE} from '@radishgw/protocol';

/** Failure of a call to a peer. The peer may still have executed the call. */
export interface PeerError {
  readonly hostId: HostId;
  readonly detail: string;
}

const CHANNEL_OPTIONS = {
  // Pings find a connection that a middlebox has silently dropped, before a call fails on it.
  'grpc.keepalive_time_ms': 1000,
  'grpc.keepalive_timeout_ms': 2000,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.initial_reconnect_backoff_ms': 200,
  'grpc.max_reconnect_backoff_ms': 1000,
  // Hosts are addressed by IP address, which TLS doesn't allow as a server name.
  'grpc.ssl_target_name_override': 'radishgw',
  'grpc.max_receive_message_length': 64 * 1024 * 1024,
};

/** Connections to the other hosts, opened on first use. */
export class PeerClients {
  private readonly clients = new Map<string, Client>();

  constructor(
    private readonly credentials: ChannelCredentials,
    private readonly findMember: (hostId: HostId) => Member | undefined,
  ) {}

  /** Calls a peer and waits at most `timeoutMs`. */
  call<Req, Res>(
    hostId: HostId,
    method: MethodDefinition<Req, Res>,
    request: Req,
    timeoutMs: number,
  ): Promise<Result<Res, PeerError>> {
    const client = this.getOrCreateClient(hostId);
    if (!client) return Promise.resolve(Err({hostId, detail: 'not a member'}));
    return new Promise(resolve => {
      client.makeUnaryRequest(
        method.path,
        method.requestSerialize,
        method.responseDeserialize,
        request,
        // gRPC takes a deadline as a wall-clock date; only the clock of this host matters.
        {deadline: Date.now() + timeoutMs},
        (error, response) => {
          if (error) resolve(Err({hostId, detail: error.message}));
          else if (response === undefined) resolve(Err({hostId, detail: 'empty response'}));
          else resolve(Ok(response));
        },
      );
    });
  }

  /** Opens the configuration stream of a peer. */
  subscribeConfig(
    hostId: HostId,
    request: Parameters<typeof INNER_SERVICE.subscribeConfig.requestSerialize>[0],
  ): ClientReadableStream<
    ReturnType<typeof INNER_SERVICE.subscribeConfig.responseDeserialize>
  > | null {
    const method = INNER_SERVICE.subscribeConfig;
    const client = this.getOrCreateClient(hostId);
    if (!client) return null;
    return client.makeServerStreamRequest(
      method.path,
      method.requestSerialize,
      method.responseDeserialize,
      request,
    );
  }

  /** Opens a stream of confirmations to a peer; undefined if the peer isn't a member. */
  confirmReserves(
    hostId: HostId,
  ): ClientDuplexStream<ConfirmReserveRequest, ConfirmReserveReply> | undefined {
    const method = INNER_SERVICE.confirmReserves;
    return this.getOrCreateClient(hostId)?.makeBidiStreamRequest(
      method.path,
      method.requestSerialize,
      method.responseDeserialize,
    );
  }

  /** Closes connections to addresses that no member uses any more. */
  closeUnused(members: readonly Member[]): void {
    const addresses = new Set(members.map(member => member.innerAddress));
    for (const [address, client] of this.clients) {
      if (addresses.has(address)) continue;
      client.close();
      this.clients.delete(address);
    }
  }

  close(): void {
    for (const client of this.clients.values()) client.close();
    this.clients.clear();
  }

  private getOrCreateClient(hostId: HostId): Client | undefined {
    const address = this.findMember(hostId)?.innerAddress;
    if (!address) return undefined;
    let client = this.clients.get(address);
    if (!client) {
      client = new Client(address, this.credentials, CHANNEL_OPTIONS);
      this.clients.set(address, client);
    }
    return client;
  }
}
