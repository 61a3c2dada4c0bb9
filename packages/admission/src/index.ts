/**
 * Admission control of a sidecar: the concurrency limit of its backend server, the fair queue, and
 * which requests are refused.
 */
export { createFairQueue, QUANTUM_TOKENS } from './fair-queue.js';
export type { FairQueue, QueuedRequest } from './fair-queue.js';
export {
  AdmissionKind,
  estimateWaitMilliseconds,
  planAdmission,
  RefusalReason,
} from './plan-admission.js';
export type { Admission, AdmissionInput } from './plan-admission.js';
export { createSlotShares } from './slot-shares.js';
export type { SlotShares } from './slot-shares.js';
export { BackendObservationKind, initialLimit, planLimit } from './plan-limit.js';
export type { BackendObservation, LimitPolicy, LimitState } from './plan-limit.js';
