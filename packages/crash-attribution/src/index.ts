/**
 * Finds which part of a prompt crashes backend servers.
 */
export { covers } from './covers.js';
export { createCrashLedger, StatementScope } from './crash-ledger.js';
export type { CrashLedger, CrashLedgerOptions, ObservedCrash } from './crash-ledger.js';
export { decodeCrashStatements, encodeCrashStatements } from './crash-statements.js';
export type { CrashStatement, CrashStatements, PartStatement } from './crash-statements.js';
export { createRequestDigest, isRequestDigest } from './request-digest.js';
export type { RequestContent, RequestDigest } from './request-digest.js';
export { planQuarantine } from './plan-quarantine.js';
export type { Blame, Crash, QuarantineInput } from './plan-quarantine.js';
