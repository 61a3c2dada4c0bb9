/**
 * Responses that this entry generates itself. Statuses that promise "not run" require the proof of
 * it.
 */
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { logRequestEnd, RequestEndKind } from './request-end.js';
import type { NotRunProof } from './outcome.js';
import { planRetryAfter } from './plan-retry-after.js';
import type { RefusalCause } from './plan-retry-after.js';

const CONTENT_TOO_LARGE = 413;
const SERVICE_UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;

function sendLocalReply(
  context: ForwardContext,
  accepted: AcceptedRequest,
  status: number,
  retryAfterMilliseconds: number | undefined,
): void {
  const headers = context.protocol.encodeLocalReplyHeaders(
    accepted.requestId,
    retryAfterMilliseconds,
  );
  accepted.response.send(status, headers, Buffer.alloc(0));
}

/**
 * Refuses a request that has not run, and states when to retry: after `expectedWaitMilliseconds`,
 * or else after the usual time for the cause.
 */
export function refuseRequest(
  context: ForwardContext,
  accepted: AcceptedRequest,
  cause: RefusalCause,
  proof: NotRunProof,
  expectedWaitMilliseconds?: number,
): void {
  // The caller retries at another entry, so its own time counts and not what this entry has left.
  const remaining = Math.max(0, Math.floor(accepted.expiresAt - context.now()));
  const retryAfter = planRetryAfter({
    cause,
    remainingMilliseconds: remaining,
    random: context.random(),
    likelyMilliseconds: expectedWaitMilliseconds,
  });
  logRequestEnd(context, accepted, {
    kind: RequestEndKind.Refusal,
    choice: cause,
    reason: proof.reason,
    facts: { remaining, retryAfter, likely: expectedWaitMilliseconds },
  });
  sendLocalReply(context, accepted, SERVICE_UNAVAILABLE, retryAfter);
}

/** Rejects a request that no server can hold, before it is sent to any; a retry cannot succeed. */
export function rejectTooLarge(context: ForwardContext, accepted: AcceptedRequest): void {
  const { promptTokens } = accepted.request;
  logRequestEnd(context, accepted, {
    kind: RequestEndKind.Refusal,
    choice: 'tooLarge',
    reason: 'the prompt exceeds the memory of every server of the service',
    facts: { promptTokens },
  });
  sendLocalReply(context, accepted, CONTENT_TOO_LARGE, undefined);
}

/** Fails a request that may have run; aborts a response that has begun. */
export function failRequest(
  context: ForwardContext,
  accepted: AcceptedRequest,
  reason: string,
  isTimeout: boolean,
): void {
  logRequestEnd(context, accepted, {
    kind: RequestEndKind.Failure,
    choice: isTimeout ? 'timeout' : 'unknown',
    reason,
    facts: { hasBegun: accepted.response.hasBegun },
  });
  if (accepted.response.hasBegun) accepted.response.abort();
  else sendLocalReply(context, accepted, isTimeout ? GATEWAY_TIMEOUT : BAD_GATEWAY, undefined);
}
