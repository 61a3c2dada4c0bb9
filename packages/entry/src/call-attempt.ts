/**
 * One attempt at one call of a plain service on one sidecar.
 */
import type { ResultCode } from '@lapisbridge/errors';
import type { Ran } from '@lapisbridge/types';
import { MessageKind } from '@lapisbridge/wire';
import type { CallAnswer, CallStart, Message, Resume } from '@lapisbridge/wire';

import type { BackendPool } from './backend-pool.js';

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

export interface CallAttemptInput {
  readonly pool: BackendPool;
  readonly instanceId: string;
  readonly message: CallStart | Resume;
  readonly timeoutMilliseconds: number;
  readonly callerGone: AbortSignal;
}

export function runCallAttempt(input: CallAttemptInput): Promise<CallOutcome> {
  const { pool, instanceId, message, callerGone } = input;
  return new Promise((resolve) => {
    function end(outcome: CallOutcome): void {
      clearTimeout(timer);
      callerGone.removeEventListener('abort', onGone);
      pool.unlisten(instanceId, message);
      resolve(outcome);
    }

    function onMessage(received: Message): void {
      switch (received.kind) {
        case MessageKind.CallAnswer:
          end({ kind: CallOutcomeKind.Answered, answer: received });
          break;
        case MessageKind.Refused:
          end({
            kind: CallOutcomeKind.Refused,
            code: received.code,
            reason: received.reason,
            retryAfterMilliseconds: received.retryAfterMilliseconds,
            claimVersion: received.claimVersion,
          });
          break;
        case MessageKind.Failed:
          end({ ...received, kind: CallOutcomeKind.Failed });
          break;
        default:
          break;
      }
    }

    const onGone = (): void => end({ kind: CallOutcomeKind.CallerGone });
    const timer = setTimeout(
      () => end({ kind: CallOutcomeKind.TimedOut }),
      input.timeoutMilliseconds,
    );
    callerGone.addEventListener('abort', onGone);
    const onLost = (): void => end({ kind: CallOutcomeKind.Lost });
    const listening = pool.listen(instanceId, message, { onMessage, onLost });
    if (callerGone.aborted) onGone();
    else if (!listening || !pool.send(instanceId, message)) onLost();
  });
}
