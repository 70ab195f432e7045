import {
  sendUnaryData,
  ServerDuplexStream,
  Server,
  ServerCredentials,
  ServerUnaryCall,
  ServerWritableStream,
  status,
} from '@grpc/grpc-js';
import * as protocol from '@radishgw/protocol';

/** Handlers of the calls from other hosts. */
export interface InnerHandlers {
  heartbeat(request: protocol.HeartbeatRequest): protocol.HeartbeatResponse;
  subscribeConfig(
    stream: ServerWritableStream<protocol.SubscribeConfigRequest, protocol.ConfigUpdate>,
  ): void;
  acquireGrant(request: protocol.AcquireGrantRequest): Promise<protocol.AcquireGrantResponse>;
  confirmReserves(
    stream: ServerDuplexStream<protocol.ConfirmReserveRequest, protocol.ConfirmReserveReply>,
  ): void;
  handOverShards(request: protocol.HandOverShardsRequest): protocol.HandOverShardsResponse;
  pushUsage(request: protocol.PushUsageRequest): protocol.PushUsageResponse;
}

/** Wraps a function as a unary gRPC handler. An exception fails only the call that caused it. */
function toUnary<Req, Res>(handle: (request: Req) => Res | Promise<Res>) {
  return (call: ServerUnaryCall<Req, Res>, callback: sendUnaryData<Res>): void => {
    Promise.resolve()
      .then(() => handle(call.request))
      .then(
        response => callback(null, response),
        error => callback({code: status.INTERNAL, details: String(error)}),
      );
  };
}

/** Starts the gRPC server for the other hosts. */
export async function startInnerServer(
  address: string,
  credentials: ServerCredentials,
  handlers: InnerHandlers,
): Promise<Server> {
  const server = new Server({'grpc.max_receive_message_length': 64 * 1024 * 1024});
  server.addService(protocol.INNER_SERVICE, {
    heartbeat: toUnary(handlers.heartbeat),
    acquireGrant: toUnary(handlers.acquireGrant),
    confirmReserves: (
      stream: ServerDuplexStream<protocol.ConfirmReserveRequest, protocol.ConfirmReserveReply>,
    ) => handlers.confirmReserves(stream),
    handOverShards: toUnary(handlers.handOverShards),
    pushUsage: toUnary(handlers.pushUsage),
    subscribeConfig: (
      stream: ServerWritableStream<protocol.SubscribeConfigRequest, protocol.ConfigUpdate>,
    ) => handlers.subscribeConfig(stream),
  });
  await new Promise<void>((resolve, reject) => {
    server.bindAsync(address, credentials, error => (error ? reject(error) : resolve()));
  });
  return server;
}
