/** Heads of answers, for tests of what servers state in them. */
import { RateLimitKind, RetryAfterKind } from './caller-protocol.js';
import type { ResponseHead } from './caller-protocol.js';

/** A whole answer to request `id` that states nothing, but for the given fields. */
export function headWith(fields: Partial<ResponseHead> = {}): ResponseHead {
  return {
    status: 200,
    requestId: 'id',
    isSigned: true,
    notRun: false,
    isMisdirected: false,
    faultyAddress: undefined,
    load: undefined,
    rateLimit: { kind: RateLimitKind.None },
    retryAfter: { kind: RetryAfterKind.None },
    isLeaving: false,
    headers: [],
    ...fields,
  };
}

/** A refusal that states nothing, but for the given fields. */
export function refusalWith(fields: Partial<ResponseHead> = {}): ResponseHead {
  return headWith({ status: 503, notRun: true, ...fields });
}
