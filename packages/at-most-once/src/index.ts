/**
 * At-most-once execution of calls, and proof of whether a call ran.
 */
export { claimKey, ClaimState } from './claim-record.js';
export type { ClaimRecord, StoredResult } from './claim-record.js';
export { ClaimResultKind, createClaimStore } from './claim-store.js';
export type {
  CallAttempt,
  ClaimResult,
  ClaimStore,
  ClaimStoreOptions,
  AcquiredClaim,
} from './claim-store.js';
export { ClaimPlanKind, planClaim } from './plan-claim.js';
export type { ClaimAttempt, ClaimPlan } from './plan-claim.js';
export { outcomeFromRow, proveNotRun } from './prove-not-run.js';
export type { OutcomeReport, ProveNotRunOptions, CallReference } from './prove-not-run.js';
export { createSeenKeys } from './seen-keys.js';
export type { SeenKeys } from './seen-keys.js';
export { createBatchingTable, createTransactionBatcher } from './transaction-batcher.js';
export type { TransactionBatcher } from './transaction-batcher.js';
