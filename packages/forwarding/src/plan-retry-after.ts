/**
 * When a refused caller should come back. Callers wait as told, up to a third of the time they
 * have left, and come back once; a time that is too short spends that one try, and equal times
 * bring them all back together. Pure.
 */
export enum RefusalCause {
  /** This entry does not know the configuration yet. */
  NoConfiguration = 'noConfiguration',
  /** No backend server of the service is known or reachable. */
  NoServer = 'noServer',
  /** Every server that could be tried is full. */
  Full = 'full',
  /** Every slot is taken, and whoever waited for one would be late. */
  Crowded = 'crowded',
  /** Every server that could be tried has asked to be sent nothing for a while. */
  BackingOff = 'backingOff',
  /** The lock-step group is broken and forms anew. */
  GroupBroken = 'groupBroken',
  /** Repeating it now would exceed the retry budget. */
  BudgetSpent = 'budgetSpent',
  /** The time was up before it could be sent. */
  Expired = 'expired',
}

/**
 * The cause that a caller's return is planned for. A lock-step group that is cut in two stands still
 * for a while before its engines tell; until then connections fail and queues are full. Whoever is
 * told to come back as for these comes back into the same outage and is lost.
 */
export function planRefusalCause(cause: RefusalCause, hasGroupStopped: boolean): RefusalCause {
  switch (cause) {
    case RefusalCause.Full:
    case RefusalCause.Crowded:
    case RefusalCause.BudgetSpent:
      return hasGroupStopped ? RefusalCause.GroupBroken : cause;
    case RefusalCause.NoConfiguration:
    case RefusalCause.NoServer:
    case RefusalCause.BackingOff:
    case RefusalCause.GroupBroken:
    case RefusalCause.Expired:
      return cause;
    default: {
      const unreachable: never = cause;
      return unreachable;
    }
  }
}

/** Time after which each cause has usually passed, in milliseconds. */
const TYPICAL_MILLISECONDS: Readonly<Record<RefusalCause, number>> = {
  // The first read of the store takes two round trips.
  [RefusalCause.NoConfiguration]: 400,
  // A replaced server is listed within a heartbeat.
  [RefusalCause.NoServer]: 1500,
  // Answers last one to two seconds, so that a queue moves on in that time.
  [RefusalCause.Full]: 1200,
  // A crowd after an outage is gone in two to six seconds; callers come back once, so rather late.
  [RefusalCause.Crowded]: 2400,
  // Where a server does not tell.
  [RefusalCause.BackingOff]: 2400,
  // Until outages were seen that tell better.
  [RefusalCause.GroupBroken]: 2900,
  [RefusalCause.BudgetSpent]: 1200,
  [RefusalCause.Expired]: 0,
};

/** Callers wait no longer than this share of the time they have left. */
const MAXIMUM_SHARE = 1 / 3;
/** Share by which times differ at random, so that callers do not come back together. */
const JITTER = 0.35;

export interface RetryAfterInput {
  readonly cause: RefusalCause;
  readonly remainingMilliseconds: number;
  /** Uniform in [0, 1). */
  readonly random: number;
  /** Within which a group is likely to run again, or a backoff is over. */
  readonly likelyMilliseconds?: number | undefined;
}

/** Milliseconds. */
export function planRetryAfter(input: RetryAfterInput): number {
  const { cause, remainingMilliseconds, random, likelyMilliseconds } = input;
  const longest = remainingMilliseconds * MAXIMUM_SHARE;
  const expectedMilliseconds = likelyMilliseconds ?? TYPICAL_MILLISECONDS[cause];
  // Whoever comes back while the group still stands, or within the backoff, comes in vain, so rather
  // later than sooner; other causes pass little by little.
  const isJitterAdded = cause === RefusalCause.GroupBroken || cause === RefusalCause.BackingOff;
  return Math.floor(
    isJitterAdded
      ? Math.min(expectedMilliseconds * (1 + JITTER * random), longest)
      : Math.min(expectedMilliseconds, longest) * (1 - JITTER * random),
  );
}
