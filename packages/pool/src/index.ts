export * from './connection-pool.js';
export * from './wait-queue.js';
