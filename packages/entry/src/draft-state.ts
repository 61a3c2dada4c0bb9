/**
 * What serving one draft needs, what it keeps on the way, and the messages made from it.
 */
import type { EventId } from '@lapisbridge/answers';
import type { EnvironmentDocument, ModelPolicy } from '@lapisbridge/config';
import { ResultCode } from '@lapisbridge/errors';
import type { Logger } from '@lapisbridge/logger';
import type { Random } from '@lapisbridge/kernel';
import type { RetryBudget } from '@lapisbridge/routing';
import { MessageKind } from '@lapisbridge/wire';
import type { DraftStart, Resume } from '@lapisbridge/wire';

import type { AnswerSink } from './answer-sink.js';
import type { BackendPool } from './backend-pool.js';
import type { Deadline } from './deadline.js';
import { INITIAL_CREDIT } from './draft-attempt.js';
import type { Progress } from './draft-attempt.js';
import type { DraftBody } from './draft-request.js';

export interface DraftContext {
  readonly pool: BackendPool;
  readonly logger: Logger;
  readonly random: Random;
  readonly budget: RetryBudget;
  nextTurn(): number;
  readonly entryId: string;
  readonly ownZone: string;
}

export interface Draft {
  readonly requestId: string;
  readonly account: string;
  readonly body: DraftBody;
  readonly document: EnvironmentDocument;
  readonly model: ModelPolicy;
  readonly deadline: Deadline;
  readonly sink: AnswerSink;
  readonly callerGone: AbortSignal;
  /** Whether the caller could come back for the rest of a broken-off answer. */
  readonly resumable: boolean;
  readonly resumeFrom: EventId | undefined;
  onFirstText(): void;
}

/** After the caller's own return, attempts are numbered above those of the lost entry. */
const TAKE_OVER_ATTEMPT = 1000;

export interface DraftState {
  attempt: number;
  breakages: number;
  /** True once a sidecar has admitted the request: from then on it is carried through. */
  admitted: boolean;
  resumedHere: boolean;
  pauses: number;
  retryAfterMilliseconds: number;
  lastCode: ResultCode;
  readonly tried: Set<string>;
  readonly progress: Progress;
}

export function initialState(resumeFrom: EventId | undefined): DraftState {
  return {
    attempt: resumeFrom === undefined ? 0 : TAKE_OVER_ATTEMPT,
    breakages: 0,
    admitted: resumeFrom !== undefined,
    resumedHere: false,
    pauses: 0,
    retryAfterMilliseconds: 0,
    lastCode: ResultCode.NoBackendServer,
    tried: new Set(),
    progress: {
      text: '',
      offset: resumeFrom?.offset ?? 0,
      tokens: 0,
      wholeText: resumeFrom === undefined || resumeFrom.offset === 0,
    },
  };
}

export function estimateTokens(draft: Draft): number {
  return draft.body.max_tokens ?? draft.model.defaultAnswerTokens;
}

export function startMessage(context: DraftContext, draft: Draft, state: DraftState): DraftStart {
  return {
    kind: MessageKind.DraftStart,
    entryId: context.entryId,
    requestId: draft.requestId,
    attempt: state.attempt,
    account: draft.account,
    model: draft.model.name,
    remainingMilliseconds: draft.deadline.remaining(),
    estimatedTokens: Math.max(1, estimateTokens(draft) - state.progress.tokens),
    priority: draft.model.priority,
    body: Buffer.from(JSON.stringify(draft.body)),
    deliveredText: state.progress.text,
    deliveredTokens: state.progress.tokens,
    credit: INITIAL_CREDIT,
  };
}

export function resumeMessage(
  context: DraftContext,
  draft: Draft,
  state: DraftState,
  takeOver: boolean,
): Resume {
  return {
    kind: MessageKind.Resume,
    entryId: context.entryId,
    requestId: draft.requestId,
    attempt: state.attempt,
    account: draft.account,
    offset: state.progress.offset,
    credit: INITIAL_CREDIT,
    takeOver,
  };
}
