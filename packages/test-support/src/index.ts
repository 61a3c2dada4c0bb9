/**
 * Fakes for tests.
 */
export { CallFate, createFakeTable, RELIABLE } from './fake-table.js';
export type { FakeTable, FakeTableOptions } from './fake-table.js';
