/**
 * The entry role.
 */
export { createEntry } from './entry.js';
export type { Entry } from './entry.js';
