/**
 * Decides whether a late request is sent to a second server. Answers the load of a few slow servers
 * among healthy ones. A duplicate takes capacity that others need, so there is none while most
 * servers of the service have queues or no free slot. Pure.
 */
export enum HedgeDenial {
  /** A second run could do harm, or the caller has part of the answer. */
  NotRepeatable = 'notRepeatable',
  /** The route permits no further attempt. */
  AttemptsUsed = 'attemptsUsed',
  /** Another attempt could end a third server under the request. */
  ServersEnded = 'serversEnded',
  /** The service is short of capacity, or its group has stopped. */
  NoCapacity = 'noCapacity',
  /** No other server takes the request at the moment. */
  NoServer = 'noServer',
  /** This entry's part of the operators' limit is used up. */
  LimitUsed = 'limitUsed',
  RetryBudgetUsed = 'retryBudgetUsed',
}

export enum HedgePlanKind {
  Send = 'send',
  Deny = 'deny',
}

export type HedgePlan =
  | { readonly kind: HedgePlanKind.Send }
  | { readonly kind: HedgePlanKind.Deny; readonly denial: HedgeDenial };

export interface ServiceCapacity {
  /** Servers of the service that are not draining. */
  readonly servers: number;
  /** Those that recently reported a free slot and no queue. */
  readonly serversWithFreeSlot: number;
  /** Whether the service's lock-step group has stopped. */
  readonly isGroupStopped: boolean;
}

export interface HedgeSituation {
  /** Whether the request may run twice, and its caller has received nothing yet. */
  readonly isRepeatable: boolean;
  /** Attempts that may have run, with the one in progress. */
  readonly runs: number;
  readonly maximumAttempts: number;
  readonly sends: number;
  readonly maximumSends: number;
  /** Servers that have ended under the request, here or at other entries. */
  readonly endedServers: number;
  readonly capacity: ServiceCapacity;
}

/** Servers that may end under one request, whatever its attempts. */
const MAXIMUM_ENDED_SERVERS = 2;

function hasCapacity({ servers, serversWithFreeSlot, isGroupStopped }: ServiceCapacity): boolean {
  return !isGroupStopped && serversWithFreeSlot * 2 > servers;
}

function deny(denial: HedgeDenial): HedgePlan {
  return { kind: HedgePlanKind.Deny, denial };
}

export function planHedge(situation: HedgeSituation): HedgePlan {
  const { runs, maximumAttempts, sends, maximumSends, endedServers } = situation;
  if (!situation.isRepeatable) return deny(HedgeDenial.NotRepeatable);
  if (runs >= maximumAttempts || sends >= maximumSends) return deny(HedgeDenial.AttemptsUsed);
  // The late answer may be due to the end of its server, and the duplicate may end another one.
  if (endedServers + runs >= MAXIMUM_ENDED_SERVERS) return deny(HedgeDenial.ServersEnded);
  if (!hasCapacity(situation.capacity)) return deny(HedgeDenial.NoCapacity);
  return { kind: HedgePlanKind.Send };
}
