export * from './closed-pipe.js';
export * from './log.js';
export * from './metrics.js';
