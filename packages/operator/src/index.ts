export * from './bundle-diff.js';
export * from './publish-bundle.js';
export * from './read-store.js';
