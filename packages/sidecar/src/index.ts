/**
 * The sidecar role.
 */
export { createSidecar } from './sidecar.js';
export type { Sidecar } from './sidecar.js';
