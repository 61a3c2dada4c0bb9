/**
 * Proves that a call did not run, or reports its outcome. A "not run" reply must stay true, and
 * an unresponsive sidecar proves nothing: if it was paused before its claim, it could still run
 * the call later. The proof is therefore a write that increments the row's version: a pending
 * claim expects the older version and fails.
 */
import { writeConditionally, WriteOutcome } from '@lapisbridge/platform';
import type { Table, TableRow } from '@lapisbridge/platform';
import { RequestOutcome } from '@lapisbridge/types';

import { claimKey, ClaimState } from './claim-record.js';
import type { ClaimRecord, StoredResult } from './claim-record.js';

/** The attempt to prove not run. `digest` is empty if the caller only asks for the outcome. */
export interface CallReference {
  readonly account: string;
  readonly idempotencyKey: string;
  readonly attempt: string;
  readonly digest: string;
}

/** Outcome of an at-most-once call, as far as the claim row tells. */
export interface OutcomeReport {
  readonly outcome: RequestOutcome;
  /** False when the table could not be read or written. */
  readonly known: boolean;
  readonly result?: StoredResult;
  readonly resultObject?: string;
  /** True if the key was already used with a different operation or body. */
  readonly keyReused?: boolean;
  /** Row version that a new attempt must expect. */
  readonly version?: number;
  /** Sidecar that holds the claim, while the call is running. */
  readonly instanceId?: string;
}

export interface ProveNotRunOptions {
  readonly createNonce: () => string;
  /** Set by the sidecar of this attempt, which knows that it has not dispatched the call. */
  readonly releaseOwnClaim?: boolean;
}

const MAXIMUM_CONDITIONAL_WRITES = 4;

/** Derives the outcome of a call from its claim row, without a write. */
export function outcomeFromRow(row: TableRow | null): OutcomeReport {
  if (row === null) return { outcome: RequestOutcome.NotRun, known: true };
  const record = row.value as ClaimRecord;
  switch (record.state) {
    case ClaimState.Claimed:
      return { outcome: RequestOutcome.Running, known: true, instanceId: record.instanceId };
    case ClaimState.InDoubt:
      return { outcome: RequestOutcome.Unknown, known: true };
    case ClaimState.NotRun:
      return { outcome: RequestOutcome.NotRun, known: true, version: row.version };
    case ClaimState.Done:
      return {
        outcome: RequestOutcome.Done,
        known: true,
        ...(record.result === undefined ? {} : { result: record.result }),
        ...(record.resultObject === undefined ? {} : { resultObject: record.resultObject }),
      };
    default: {
      const unreachable: never = record.state;
      return unreachable;
    }
  }
}

function canMarkNotRun(
  row: TableRow | null,
  call: CallReference,
  options: ProveNotRunOptions,
): boolean {
  if (row === null) return true;
  const record = row.value as ClaimRecord;
  if (record.state === ClaimState.NotRun) return true;
  const own = record.state === ClaimState.Claimed && record.attempt === call.attempt;
  return own && options.releaseOwnClaim === true;
}

/** A digest is empty if its writer only asked for the outcome of the key; it matches any other. */
function hasDifferentDigest(record: ClaimRecord, call: CallReference): boolean {
  if (record.digest === '' || call.digest === '') return false;
  return record.digest !== call.digest;
}

/**
 * Marks the call as not run if its row allows that, else reports the outcome in the row.
 * `known` is false if the table did not respond or conflicts persisted.
 */
export async function proveNotRun(
  table: Table,
  environment: string,
  call: CallReference,
  options: ProveNotRunOptions,
): Promise<OutcomeReport> {
  const key = claimKey(environment, call.account, call.idempotencyKey);
  const unknown: OutcomeReport = { outcome: RequestOutcome.Unknown, known: false };
  let row: TableRow | null;
  try {
    row = await table.read(key);
  } catch {
    return unknown;
  }
  for (let writeCount = 0; writeCount < MAXIMUM_CONDITIONAL_WRITES; writeCount += 1) {
    const record = row?.value as ClaimRecord | undefined;
    if (record !== undefined && hasDifferentDigest(record, call)) {
      return { ...outcomeFromRow(row), keyReused: true };
    }
    if (!canMarkNotRun(row, call, options)) return outcomeFromRow(row);
    const nonce = options.createNonce();
    const expectedVersion = row?.version ?? 0;
    const notRunRecord: ClaimRecord = {
      state: ClaimState.NotRun,
      nonce,
      digest: record?.digest ?? call.digest,
      attempt: call.attempt,
      instanceId: '',
    };
    const written = await writeConditionally(table, {
      key,
      value: notRunRecord,
      expectedVersion,
      isOwn: (value) => (value as ClaimRecord).nonce === nonce,
    });
    if (written.outcome === WriteOutcome.Applied) {
      return { outcome: RequestOutcome.NotRun, known: true, version: expectedVersion + 1 };
    }
    if (written.outcome === WriteOutcome.Unknown) return unknown;
    row = written.row;
  }
  return unknown;
}
