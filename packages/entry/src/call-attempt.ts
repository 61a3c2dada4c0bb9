/**
 * One attempt at one call of a plain service on one sidecar.
 */
import type { ResultCode } from '@lapisbridge/errors';
import type { Ran } from '@lapisbridge/types';
import { MessageKind } from '@lapisbridge/wire';
import type { CallAnswer, CallStart, Resume } from '@lapisbridge/wire';

import { runAttempt } from './run-attempt.js';
import type { AttemptInput } from './run-attempt.js';

export enum CallOutcomeKind {
  Answered = 'answered',
  Refused = 'refused',
  Failed = 'failed',
  Lost = 'lost',
  TimedOut = 'timedOut',
  CallerGone = 'callerGone',
}

export type CallOutcome =
  | { readonly kind: CallOutcomeKind.Answered; readonly answer: CallAnswer }
  | {
      readonly kind: CallOutcomeKind.Refused;
      readonly code: ResultCode;
      readonly reason: string;
      readonly retryAfterMilliseconds: number;
      readonly claimVersion: number | undefined;
    }
  | {
      readonly kind: CallOutcomeKind.Failed;
      readonly code: ResultCode;
      readonly reason: string;
      readonly ran: Ran;
    }
  | { readonly kind: CallOutcomeKind.Lost }
  | { readonly kind: CallOutcomeKind.TimedOut }
  | { readonly kind: CallOutcomeKind.CallerGone };

export interface CallAttemptInput extends AttemptInput {
  readonly message: CallStart | Resume;
}

export function runCallAttempt(input: CallAttemptInput): Promise<CallOutcome> {
  return runAttempt<CallOutcome>({
    ...input,
    whenLost: { kind: CallOutcomeKind.Lost },
    whenTimedOut: { kind: CallOutcomeKind.TimedOut },
    whenCallerGone: { kind: CallOutcomeKind.CallerGone },
    onMessage(received, end) {
      switch (received.kind) {
        case MessageKind.CallAnswer:
          end({ kind: CallOutcomeKind.Answered, answer: received });
          break;
        case MessageKind.Refused: {
          const { code, reason, retryAfterMilliseconds, claimVersion } = received;
          const kind = CallOutcomeKind.Refused;
          end({ kind, code, reason, retryAfterMilliseconds, claimVersion });
          break;
        }
        case MessageKind.Failed:
          end({ ...received, kind: CallOutcomeKind.Failed });
          break;
        default:
          break;
      }
    },
  });
}
