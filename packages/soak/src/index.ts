/**
 * Randomised faults on the real programs, checked by what callers and backend servers saw.
 */
export { FaultKind, planFaults } from './plan-faults.js';
export type { Fault } from './plan-faults.js';
export { runSoak } from './run-soak.js';
export type { SoakOptions, SoakResult } from './run-soak.js';
