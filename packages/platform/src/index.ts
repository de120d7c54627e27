export * from './dialed-agent.js';
export * from './host-list.js';
export * from './store-client.js';
export * from './store-schema.js';
