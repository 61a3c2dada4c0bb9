/**
 * The entry program, for any platform whose adapters it is given.
 */
export type { EntryAdapters, StoreOptions, TableAdapter, TableRows } from './adapters.js';
export { startDirectEntry } from './start-entry.js';
