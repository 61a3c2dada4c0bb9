/**
 * The time that a request has left: until its own timeout or its caller's, and no longer than the
 * entry has until it ends.
 */
import { ShutdownPhase } from './entry-shutdown.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { RefusalCause } from './plan-retry-after.js';
import { planSendWindow } from './plan-shutdown-admission.js';

export function computeRemainingMilliseconds(
  { shutdown, now }: ForwardContext,
  { expiresAt }: AcceptedRequest,
): number {
  return Math.max(0, Math.floor(Math.min(expiresAt, shutdown.deadline()) - now()));
}

/** Whether the request ends because the entry does, before its own timeout. */
function endsWithEntry({ shutdown }: ForwardContext, { expiresAt }: AcceptedRequest): boolean {
  return shutdown.deadline() < expiresAt;
}

/** Calls back once when the request has no time left; returns a function that ends the watch. */
export function watchExpiry(
  context: ForwardContext,
  accepted: AcceptedRequest,
  onExpired: (cause: RefusalCause, reason: string) => void,
): () => void {
  function expire(): void {
    if (endsWithEntry(context, accepted)) onExpired(RefusalCause.ShuttingDown, 'entry shuts down');
    else onExpired(RefusalCause.Expired, 'request expired');
  }

  function startTimer(): NodeJS.Timeout {
    return setTimeout(expire, computeRemainingMilliseconds(context, accepted));
  }

  let timer = startTimer();
  const unsubscribe = context.shutdown.onBegin(() => {
    clearTimeout(timer);
    timer = startTimer();
  });
  return () => {
    clearTimeout(timer);
    unsubscribe();
  };
}

/**
 * Milliseconds for which a request that has not run may still be sent to a server; 0 if it would
 * not be complete before the entry ends.
 */
export function computeSendWindow(context: ForwardContext, accepted: AcceptedRequest): number {
  const { shutdown, responseTimes, now } = context;
  const { route, admittedIn, expiresAt } = accepted;
  if (shutdown.phase() === ShutdownPhase.None) return expiresAt - now();
  return planSendWindow({
    admittedIn,
    untilExpiryMilliseconds: expiresAt - now(),
    untilDeadlineMilliseconds: shutdown.deadline() - now(),
    usualMilliseconds:
      responseTimes.usualMilliseconds(route.name) ?? route.latencyObjectiveMilliseconds,
  });
}
