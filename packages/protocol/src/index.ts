export * from './gen/radishgw/inner/v1/inner_pb.js';
export * from './service.js';
