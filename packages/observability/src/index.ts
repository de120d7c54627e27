export * from './closed-pipe.js';
export * from './log-limiter.js';
export * from './log-output.js';
export * from './log.js';
export * from './metrics.js';
