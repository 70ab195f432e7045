export * from './engine/engine-server.js';
export * from './fault-proxy.js';
export * from './http.js';
export * from './platform/object-store.js';
export * from './platform/platform-server.js';
export * from './service/service-server.js';
export * from './child.js';
export * from './deployment.js';
