export * from './entry/local-statement.js';
export * from './host.js';
