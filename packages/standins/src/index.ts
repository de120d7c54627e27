export * from './faults/fault-network.js';
export * from './faults/fault-server.js';
export * from './free-port.js';
export * from './store/store-server.js';
export * from './store/store-state.js';
export * from './upstream/log.js';
export * from './upstream/upstream-node.js';
export * from './upstream/upstream-server.js';
