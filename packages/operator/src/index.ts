export * from './publish-bundle.js';
