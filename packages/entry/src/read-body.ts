/**
 * Reads a request body within a size limit and within what all clients together may hold.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { BodyEndKind } from '@lapisbridge/client-limits';
import type { ClientGuard } from '@lapisbridge/client-limits';
import { LapisError, ResultCode } from '@lapisbridge/errors';
import { monotonicClock } from '@lapisbridge/kernel';

export interface BodyLimits {
  readonly maximumBytes: number;
  /** Time in which the body must be complete. */
  readonly maximumMilliseconds: number;
}

/** Resolves with the body, which counts as held until the response has left. */
export async function readBody(
  guard: ClientGuard,
  request: IncomingMessage,
  response: ServerResponse,
  { maximumBytes, maximumMilliseconds }: BodyLimits,
): Promise<Buffer> {
  const expiresAt = monotonicClock() + maximumMilliseconds;
  const received = await guard.readBody(request, { maximumBytes, expiresAt });
  if (received.kind !== BodyEndKind.Complete) guard.closeAfter(request, response);
  switch (received.kind) {
    case BodyEndKind.Complete:
      if (response.destroyed) received.release();
      else response.once('close', received.release);
      return received.bytes;
    case BodyEndKind.TooLarge:
      throw new LapisError(
        ResultCode.BodyTooLarge,
        `the body is larger than ${maximumBytes} bytes`,
      );
    case BodyEndKind.Refused:
      throw new LapisError(ResultCode.Overloaded, 'callers together hold too much here');
    case BodyEndKind.Expired:
      throw new LapisError(
        ResultCode.DeadlineTooShort,
        'the body was not complete before the deadline',
      );
    default: {
      const unreachable: never = received;
      throw new Error(String(unreachable));
    }
  }
}
