export * from './connection-pool.js';
export * from './waiting-order.js';
