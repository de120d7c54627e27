export type { CallerTls } from './entry/caller-server.js';
export * from './entry/local-statement.js';
export * from './host.js';
