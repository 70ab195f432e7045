import {create, DescMessage, fromBinary, MessageShape, toBinary} from '@bufbuild/protobuf';
import {MethodDefinition, ServiceDefinition} from '@grpc/grpc-js';
import * as pb from './gen/radishgw/inner/v1/inner_pb.js';

/** Creates the grpc-js definition of a method from the generated descriptors of its messages. */
function defineMethod<Req extends DescMessage, Res extends DescMessage>(
  name: string,
  request: Req,
  response: Res,
  {requestStream = false, responseStream = false} = {},
): MethodDefinition<MessageShape<Req>, MessageShape<Res>> {
  return {
    path: `/radishgw.inner.v1.Inner/${name}`,
    requestStream,
    responseStream,
    requestSerialize: message => Buffer.from(toBinary(request, message)),
    requestDeserialize: bytes => fromBinary(request, bytes),
    responseSerialize: message => Buffer.from(toBinary(response, message)),
    responseDeserialize: bytes => fromBinary(response, bytes),
  };
}

/** The grpc-js definition of the service `radishgw.inner.v1.Inner`. */
export const INNER_SERVICE = {
  heartbeat: defineMethod('Heartbeat', pb.HeartbeatRequestSchema, pb.HeartbeatResponseSchema),
  subscribeConfig: defineMethod(
    'SubscribeConfig',
    pb.SubscribeConfigRequestSchema,
    pb.ConfigUpdateSchema,
    {responseStream: true},
  ),
  acquireGrant: defineMethod(
    'AcquireGrant',
    pb.AcquireGrantRequestSchema,
    pb.AcquireGrantResponseSchema,
  ),
  confirmReserves: defineMethod(
    'ConfirmReserves',
    pb.ConfirmReserveRequestSchema,
    pb.ConfirmReserveReplySchema,
    {requestStream: true, responseStream: true},
  ),
  handOverShards: defineMethod(
    'HandOverShards',
    pb.HandOverShardsRequestSchema,
    pb.HandOverShardsResponseSchema,
  ),
  pushUsage: defineMethod('PushUsage', pb.PushUsageRequestSchema, pb.PushUsageResponseSchema),
} satisfies ServiceDefinition;

export {create};
