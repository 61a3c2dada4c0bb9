/**
 * Estimates which share of a service's requests this entry sends. Callers are not spread evenly: the
 * load balancer in front may hand most of them to one entry. The servers' load reports count the
 * requests of all entries, so their sum, compared with this entry's own requests, shows its share
 * without messages between entries. Pure.
 */
export interface TrafficShareInput {
  /** Requests in flight at the servers that have reported recently, from all entries. */
  readonly reportedRequests: number;
  /** This entry's requests among them, as of the reports. */
  readonly ownRequests: number;
  /** Number of entries, including this one. */
  readonly entries: number;
}

/** With few requests in flight, an even spread over the entries is assumed. */
const ASSUMED_REQUESTS = 4;

/** Returns the share in (0, 1]. */
export function planTrafficShare(input: TrafficShareInput): number {
  const entries = Math.max(1, input.entries);
  const own = Math.min(input.ownRequests, input.reportedRequests);
  return (own + ASSUMED_REQUESTS / entries) / (input.reportedRequests + ASSUMED_REQUESTS);
}

/** Requests that the other entries send for each one of this entry. */
export function othersPerRequest(share: number): number {
  return (1 - share) / share;
}
