/**
 * Computes how long before the caller's timeout a response of this entry's own has to be sent. A
 * request that is only given up at the caller's timeout never gets a response: the caller closes
 * the connection first, and a backend server that is unreachable at that moment goes on with a
 * request that nobody waits for. Pure.
 */

const MAXIMUM_MARGIN_MILLISECONDS = 50;
const MARGIN_RATIO = 0.1;

/** Milliseconds before the caller's timeout at which a response of this entry's own is sent. */
export function computeReplyMargin(callerTimeoutMilliseconds: number): number {
  return Math.min(MAXIMUM_MARGIN_MILLISECONDS, callerTimeoutMilliseconds * MARGIN_RATIO);
}
