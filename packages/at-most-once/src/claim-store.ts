/**
 * Writes the claim rows of at-most-once calls: a sidecar acquires a claim before it dispatches
 * a call, then stores the outcome, or releases the claim if it did not dispatch. Only the
 * sidecar whose conditional write acquired the claim dispatches the call, and only once.
 */
import { readBack, writeConditionally, WriteOutcome } from '@lapisbridge/platform';
import type { ObjectStore, Table, TableRow } from '@lapisbridge/platform';

import { ClaimState, claimKey } from './claim-record.js';
import type { ClaimRecord, StoredResult } from './claim-record.js';
import { ClaimPlanKind, planClaim } from './plan-claim.js';
import type { ClaimPlan } from './plan-claim.js';
import { proveNotRun } from './prove-not-run.js';

/** One attempt to run an at-most-once call. */
export interface CallAttempt {
  readonly account: string;
  readonly idempotencyKey: string;
  /** Identifier of this attempt, unique across all requests. */
  readonly attempt: string;
  /** Digest of the operation and the request body. */
  readonly digest: string;
  /** Row version that this attempt expects; 0 if the row must not exist. */
  readonly claimVersion: number;
}

/** A claim held by this sidecar: the row as it wrote it, with the row's version. */
export interface AcquiredClaim {
  readonly call: CallAttempt;
  readonly key: string;
  readonly version: number;
  readonly record: ClaimRecord;
}

export enum ClaimResultKind {
  Acquired = 'won',
  KeyReused = 'keyReused',
  /** The call was proved not run after this attempt began; a new attempt may use `version`. */
  Superseded = 'superseded',
  Running = 'running',
  InDoubt = 'inDoubt',
  Replay = 'replay',
  /**
   * The table, or the object store that holds a large result, is not accessible. Nothing is
   * dispatched for this attempt.
   */
  Unavailable = 'unavailable',
}

export type ClaimResult =
  | { readonly kind: ClaimResultKind.Acquired; readonly claim: AcquiredClaim }
  | { readonly kind: ClaimResultKind.KeyReused; readonly ran: boolean }
  | { readonly kind: ClaimResultKind.Superseded; readonly version: number }
  | { readonly kind: ClaimResultKind.Running }
  | { readonly kind: ClaimResultKind.InDoubt }
  | { readonly kind: ClaimResultKind.Replay; readonly result: StoredResult }
  | { readonly kind: ClaimResultKind.Unavailable };

export interface ClaimStore {
  /** Acquires the claim, or reports why it cannot. Table errors give `Unavailable`. */
  claim(call: CallAttempt): Promise<ClaimResult>;
  /** Stores the outcome. Resolves to false if the write was not confirmed; retry then. */
  storeOutcome(
    claim: AcquiredClaim,
    state: ClaimState.Done,
    result: StoredResult,
  ): Promise<boolean>;
  storeOutcome(claim: AcquiredClaim, state: ClaimState.InDoubt): Promise<boolean>;
  /** Releases the claim before dispatch. Resolves to true once the release is confirmed. */
  release(claim: AcquiredClaim): Promise<boolean>;
  /**
   * Invalidates a claim whose write got no response, so that it cannot block the key if the
   * write takes effect later. Resolves to false if the outcome is still unknown.
   */
  abandon(call: CallAttempt): Promise<boolean>;
}

export interface ClaimStoreOptions {
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly environment: string;
  readonly instanceId: string;
  readonly createNonce: () => string;
}

/** Few attempts compete for one key, so more conflicts than this indicate a faulty table. */
const MAXIMUM_CONDITIONAL_WRITES = 5;
/** Results with a longer base64 body go to the object store, to keep rows small. */
const MAXIMUM_INLINE_BODY_CHARACTERS = 32 * 1024;

function matchOwnRecord(nonce: string, state: ClaimState): (value: unknown) => boolean {
  return (value) => {
    const record = value as ClaimRecord;
    return record.nonce === nonce && record.state === state;
  };
}

export function createClaimStore(options: ClaimStoreOptions): ClaimStore {
  const { table, objects, environment, instanceId } = options;

  async function replay(
    result: StoredResult | undefined,
    object: string | undefined,
  ): Promise<ClaimResult> {
    if (result !== undefined) return { kind: ClaimResultKind.Replay, result };
    const stored = object === undefined ? null : await objects.read(object).catch(() => null);
    if (stored === null) return { kind: ClaimResultKind.Unavailable };
    return { kind: ClaimResultKind.Replay, result: stored as StoredResult };
  }

  /** Makes at most one conditional write. On a conflict, returns the current row. */
  async function tryClaim(
    call: CallAttempt,
    key: string,
    row: TableRow | null,
    isFirstWrite: boolean,
  ): Promise<ClaimResult | { readonly conflict: TableRow | null }> {
    const plan: ClaimPlan = isFirstWrite
      ? { kind: ClaimPlanKind.Insert, expectedVersion: call.claimVersion }
      : planClaim(row, call);
    switch (plan.kind) {
      case ClaimPlanKind.Insert: {
        const record: ClaimRecord = {
          state: ClaimState.Claimed,
          nonce: options.createNonce(),
          digest: call.digest,
          attempt: call.attempt,
          instanceId,
        };
        const written = await writeConditionally(table, {
          key,
          value: record,
          expectedVersion: plan.expectedVersion,
          isOwn: matchOwnRecord(record.nonce, ClaimState.Claimed),
        });
        if (written.outcome === WriteOutcome.Unknown) {
          return { kind: ClaimResultKind.Unavailable };
        }
        if (written.outcome === WriteOutcome.Conflict) return { conflict: written.row };
        const version = written.row?.version ?? plan.expectedVersion + 1;
        return { kind: ClaimResultKind.Acquired, claim: { call, key, version, record } };
      }
      case ClaimPlanKind.KeyReused:
        return { kind: ClaimResultKind.KeyReused, ran: plan.ran };
      case ClaimPlanKind.Superseded:
        return { kind: ClaimResultKind.Superseded, version: plan.version };
      case ClaimPlanKind.Running:
        return { kind: ClaimResultKind.Running };
      case ClaimPlanKind.InDoubt:
        return { kind: ClaimResultKind.InDoubt };
      case ClaimPlanKind.Replay:
        return replay(plan.result, plan.resultObject);
      default: {
        const unreachable: never = plan;
        return unreachable;
      }
    }
  }

  async function updateClaim(claim: AcquiredClaim, record: ClaimRecord): Promise<boolean> {
    const written = await writeConditionally(table, {
      key: claim.key,
      value: record,
      expectedVersion: claim.version,
      isOwn: matchOwnRecord(record.nonce, record.state),
    });
    return written.outcome === WriteOutcome.Applied;
  }

  async function storeResult(key: string, result: StoredResult): Promise<Partial<ClaimRecord>> {
    if (result.body.length <= MAXIMUM_INLINE_BODY_CHARACTERS) return { result };
    const resultObject = `results/${key}`;
    await objects.write(resultObject, result);
    return { resultObject };
  }

  return {
    async claim(call) {
      const key = claimKey(environment, call.account, call.idempotencyKey);
      let row: TableRow | null = null;
      for (let writeCount = 0; writeCount < MAXIMUM_CONDITIONAL_WRITES; writeCount += 1) {
        const outcome = await tryClaim(call, key, row, writeCount === 0);
        if ('kind' in outcome) return outcome;
        row = outcome.conflict;
      }
      return { kind: ClaimResultKind.Running };
    },

    async storeOutcome(claim: AcquiredClaim, state: ClaimState, result?: StoredResult) {
      try {
        const stored = result === undefined ? {} : await storeResult(claim.key, result);
        return await updateClaim(claim, { ...claim.record, state, ...stored });
      } catch {
        return false;
      }
    },

    async release(claim) {
      const { record } = claim;
      const released = { ...record, state: ClaimState.NotRun };
      if (await updateClaim(claim, released)) return true;
      const seen = await readBack(table, {
        key: claim.key,
        value: released,
        expectedVersion: claim.version,
        isOwn: matchOwnRecord(record.nonce, ClaimState.NotRun),
      });
      return seen.outcome === WriteOutcome.Applied;
    },

    async abandon(call) {
      const proof = await proveNotRun(table, environment, call, {
        releaseOwnClaim: true,
        createNonce: options.createNonce,
      });
      return proof.known;
    },
  };
}
