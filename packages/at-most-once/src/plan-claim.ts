/**
 * Decides from the claim row what an attempt may do. Has no side effects; the write that
 * follows is conditional on the row's version, so a decision based on a stale row has no effect.
 */
import type { TableRow } from '@lapisbridge/platform';

import { ClaimState } from './claim-record.js';
import type { ClaimRecord, StoredResult } from './claim-record.js';

export enum ClaimPlanKind {
  Insert = 'insert',
  KeyReused = 'keyReused',
  Superseded = 'superseded',
  Running = 'running',
  InDoubt = 'inDoubt',
  Replay = 'replay',
}

export type ClaimPlan =
  | {
      readonly kind: ClaimPlanKind.Insert;
      readonly expectedVersion: number;
    }
  | { readonly kind: ClaimPlanKind.KeyReused; readonly ran: boolean }
  | { readonly kind: ClaimPlanKind.Superseded; readonly version: number }
  | { readonly kind: ClaimPlanKind.Running }
  | { readonly kind: ClaimPlanKind.InDoubt }
  | {
      readonly kind: ClaimPlanKind.Replay;
      readonly result: StoredResult | undefined;
      readonly resultObject: string | undefined;
    };

export interface ClaimAttempt {
  readonly digest: string;
  /** Row version that this attempt expects; 0 if the row must not exist. */
  readonly claimVersion: number;
}

export function planClaim(row: TableRow | null, own: ClaimAttempt): ClaimPlan {
  if (row === null) {
    return { kind: ClaimPlanKind.Insert, expectedVersion: 0 };
  }
  const record = row.value as ClaimRecord;
  if (record.digest !== '' && record.digest !== own.digest) {
    return { kind: ClaimPlanKind.KeyReused, ran: record.state === ClaimState.Done };
  }
  switch (record.state) {
    case ClaimState.Claimed:
      return { kind: ClaimPlanKind.Running };
    case ClaimState.InDoubt:
      return { kind: ClaimPlanKind.InDoubt };
    case ClaimState.Done:
      return {
        kind: ClaimPlanKind.Replay,
        result: record.result,
        resultObject: record.resultObject,
      };
    case ClaimState.NotRun:
      // An entry may have replied "not run" to its caller because of this row. A sidecar that was
      // paused meanwhile must not run the call; its attempt expects an older version.
      if (row.version !== own.claimVersion) {
        return { kind: ClaimPlanKind.Superseded, version: row.version };
      }
      return { kind: ClaimPlanKind.Insert, expectedVersion: row.version };
    default: {
      const unreachable: never = record.state;
      return unreachable;
    }
  }
}
