export * from './peer-link.js';
export * from './peer-network.js';
