/**
 * Tells callers that come back after a refusal by the time they have left. Callers of a route
 * start with much the same time; one that was told to come back has lost a good part of it.
 */
export interface RetryDetector {
  /** Notes the time that a caller of the route has left; true when it has come back. */
  isRetry(route: string, patienceMilliseconds: number | undefined): boolean;
}

/** A first try arrives with all of its time; a refusal takes up to a third, and rarely a tenth. */
const RETRY_REMAINING_SHARE = 0.85;
/** Routes remembered; beyond it all are learned anew, so that dropped ones do not pile up. */
const MAXIMUM_ROUTES = 4000;

export function createRetryDetector(): RetryDetector {
  const longestPatience = new Map<string, number>();
  return {
    isRetry(route, patienceMilliseconds) {
      if (patienceMilliseconds === undefined) return false;
      const known = longestPatience.get(route) ?? 0;
      if (patienceMilliseconds > known) {
        if (longestPatience.size >= MAXIMUM_ROUTES) longestPatience.clear();
        longestPatience.set(route, patienceMilliseconds);
      }
      return patienceMilliseconds < known * RETRY_REMAINING_SHARE;
    },
  };
}
