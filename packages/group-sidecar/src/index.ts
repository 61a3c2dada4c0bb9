/**
 * The sidecar program, for any platform whose adapters it is given.
 */
export { startGroupSidecar } from './start-sidecar.js';
export type { SidecarAdapters } from './start-sidecar.js';
