/**
 * Finds which prompt parts and which requests crash backend servers.
 */
export { covers } from './covers.js';
export { createCrashLedger, quarantineMilliseconds, StatementScope } from './crash-ledger.js';
export type { CrashLedger, CrashLedgerOptions, ObservedCrash } from './crash-ledger.js';
export { decodeCrashStatements, encodeCrashStatements } from './crash-statements.js';
export type {
  CauseStatement,
  CrashStatement,
  CrashStatements,
  LostRequest,
} from './crash-statements.js';
export { createRequestDigest, DIGEST_HEAD_LENGTH, isRequestDigest } from './request-digest.js';
export type { RequestContent, RequestDigest } from './request-digest.js';
export { planQuarantine } from './plan-quarantine.js';
export { planRequestQuarantine } from './plan-request-quarantine.js';
export type { Blame, Crash, QuarantineInput } from './crash.js';
