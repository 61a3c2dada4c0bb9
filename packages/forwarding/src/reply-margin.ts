/**
 * How long before a caller leaves it has to be answered. A request that is given up only when its
 * caller's time is over is never answered: the caller closes the connection first, and a backend
 * server that cannot be reached just then works on for nobody. Pure.
 */

const MAXIMUM_MARGIN_MILLISECONDS = 50;
const MARGIN_RATIO = 0.1;

/** Milliseconds before the end of the caller's patience at which an answer of our own is sent. */
export function computeReplyMargin(callerTimeoutMilliseconds: number): number {
  return Math.min(MAXIMUM_MARGIN_MILLISECONDS, callerTimeoutMilliseconds * MARGIN_RATIO);
}
