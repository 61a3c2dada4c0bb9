/** Heads of responses, for tests of what servers state in them. */
import { RateLimitKind, RetryAfterKind } from './caller-protocol.js';
import type { ResponseHead } from './caller-protocol.js';

/** A successful response to request `id` that states nothing, with the given fields replaced. */
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

/** A refusal that states nothing, with the given fields replaced. */
export function refusalWith(fields: Partial<ResponseHead> = {}): ResponseHead {
  return headWith({ status: 503, notRun: true, ...fields });
}
