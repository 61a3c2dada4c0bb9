/**
 * The sidecar program, independent of the platform: it receives the platform's adapters.
 */
export { startGroupSidecar } from './start-sidecar.js';
export type { SidecarAdapters } from './start-sidecar.js';
