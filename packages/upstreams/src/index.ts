export * from './answer-segment.js';
export * from './control-sql.js';
export * from './upstream-connection.js';
export * from './upstream-control.js';
