/**
 * Calls that must run at most once, and truthful answers about whether they ran.
 */
export { claimKey, ClaimState } from './claim-record.js';
export type { ClaimRecord, StoredResult } from './claim-record.js';
export { ClaimResultKind, createClaims } from './claims.js';
export type { Call, ClaimResult, Claims, ClaimsOptions, WonClaim } from './claims.js';
export { ClaimPlanKind, planClaim } from './plan-claim.js';
export type { ClaimAttempt, ClaimPlan } from './plan-claim.js';
export { outcomeOf, proveNotRun } from './prove-not-run.js';
export type { Proof, ProofOptions, UnprovedCall } from './prove-not-run.js';
export { createSeenKeys } from './seen-keys.js';
export type { SeenKeys } from './seen-keys.js';
export { batchingTable, createTransactionBatcher } from './transaction-batcher.js';
export type { TransactionBatcher } from './transaction-batcher.js';
