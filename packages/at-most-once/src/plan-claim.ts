/**
 * Decides what an attempt may do in view of the claim row. Pure; the row's version makes the
 * following write conditional, so a decision from an outdated row fails instead of harming.
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
  /** Row version that the attempt goes on from, 0 for an absent row. */
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
      // An entry has told its caller "not run" on the strength of this row. A sidecar that was
      // frozen meanwhile would run the call after all; its attempt names an older version.
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
