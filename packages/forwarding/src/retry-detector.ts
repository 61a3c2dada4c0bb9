/**
 * Detects retries by the time that the caller has left. Callers of a route start with about the
 * same time, and one that was told to retry has lost a good part of it.
 */
export interface RetryDetector {
  /** Records the time that a caller of the route has left; true if the request is a retry. */
  isRetry(route: string, patienceMilliseconds: number | undefined): boolean;
}

/**
 * A first attempt arrives with all of its time; a refusal takes up to a third, rarely only a tenth.
 */
const RETRY_REMAINING_SHARE = 0.85;
/**
 * Maximum number of routes kept. Beyond it all are cleared and learned again, so that removed
 * routes do not accumulate.
 */
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
