/**
 * What a sidecar answers to a call of a plain service.
 */
import type { StoredResult } from '@lapisbridge/at-most-once';
import type { ResultCode } from '@lapisbridge/errors';
import type { Ran } from '@lapisbridge/types';
import { MessageKind } from '@lapisbridge/wire';
import type { CallAnswer, CallStart, Failed, Refused } from '@lapisbridge/wire';

import type { Refusal } from './gate.js';

export type Reply = CallAnswer | Failed | Refused;

/** Nothing was dispatched for the attempt. */
export function refusal(message: CallStart, given: Refusal): Refused {
  return {
    kind: MessageKind.Refused,
    requestId: message.requestId,
    attempt: message.attempt,
    ...given,
  };
}

export function failure(
  message: CallStart,
  code: ResultCode,
  reason: string,
  ran: Ran,
  retryAfterMilliseconds: number,
): Failed {
  return {
    kind: MessageKind.Failed,
    requestId: message.requestId,
    attempt: message.attempt,
    code,
    reason,
    ran,
    retryAfterMilliseconds,
  };
}

export function answer(message: CallStart, result: StoredResult, replayed: boolean): CallAnswer {
  return {
    kind: MessageKind.CallAnswer,
    requestId: message.requestId,
    attempt: message.attempt,
    status: result.status,
    contentType: result.contentType,
    body: Buffer.from(result.body, 'base64'),
    replayed,
  };
}
