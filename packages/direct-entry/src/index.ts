/**
 * The entry program, independent of the platform: the platform's adapters are passed to it.
 */
export type { EntryAdapters, StoreOptions, TableAdapter, TableRows } from './adapters.js';
export { startDirectEntry } from './start-entry.js';
