/**
 * What serving one call of a plain service needs, and what it keeps on the way.
 */
import type { EnvironmentDocument } from '@lapisbridge/config';
import type { ResultCode } from '@lapisbridge/errors';
import type { Logger } from '@lapisbridge/logger';
import type { Random } from '@lapisbridge/kernel';
import type { RetryBudget } from '@lapisbridge/routing';
import type { OperationKind } from '@lapisbridge/types';

import type { BackendPool } from './backend-pool.js';
import type { CallKey, CallOutcomes } from './call-outcome.js';
import type { Deadline } from './deadline.js';
import type { HedgeTimer } from './hedge-timer.js';

export interface CallContext {
  readonly pool: BackendPool;
  readonly logger: Logger;
  readonly random: Random;
  readonly budget: RetryBudget;
  nextTurn(): number;
  readonly entryId: string;
  readonly ownZone: string;
  readonly outcomes: CallOutcomes;
  readonly hedgeTimer: HedgeTimer;
}

export interface ServiceCall {
  readonly requestId: string;
  readonly account: string;
  readonly service: string;
  readonly operation: OperationKind;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly key: CallKey;
  readonly document: EnvironmentDocument;
  readonly deadline: Deadline;
  readonly callerGone: AbortSignal;
}

export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly replayed: boolean;
  readonly instanceId: string;
}

export interface CallState {
  attempt: number;
  rounds: number;
  claimVersion: number;
  /** An attempt was sent and neither answered, refused nor proved not run. */
  indeterminate: boolean;
  lastCode: ResultCode;
  lastReason: string;
  retryAfterMilliseconds: number;
  readonly tried: Set<string>;
}
