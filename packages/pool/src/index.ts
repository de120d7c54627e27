export * from './connection-pool.js';
