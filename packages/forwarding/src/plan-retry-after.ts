/**
 * Computes the time after which a refused caller should retry. Callers wait as told, up to a third
 * of the time they have left, and retry once: a time that is too short wastes that retry, and equal
 * times make all callers retry together. Pure.
 */
export enum RefusalCause {
  /** This entry has not received the configuration yet. */
  NoConfiguration = 'noConfiguration',
  /** No backend server of the service is known or reachable. */
  NoServer = 'noServer',
  /** Every server that could be tried is full. */
  Full = 'full',
  /** Every slot is taken, and a queued request would be late. */
  Crowded = 'crowded',
  /** The streams of its class are not admitted while the service is short of capacity. */
  Contended = 'contended',
  /** Every server that could be tried has requested a backoff. */
  BackingOff = 'backingOff',
  /** The lock-step group is broken and being re-formed. */
  GroupBroken = 'groupBroken',
  /** Sending the request again would exceed the retry budget. */
  BudgetSpent = 'budgetSpent',
  /** The request or a part of its prompt crashes the servers that run it. */
  Quarantined = 'quarantined',
  /** The request expired before it could be sent. */
  Expired = 'expired',
  /** This entry ends before the response would be complete. */
  ShuttingDown = 'shuttingDown',
  /** Callers together hold too much of this entry. */
  Overloaded = 'overloaded',
}

/**
 * Returns the cause that the retry is planned for. A lock-step group that is split by a network
 * failure is stopped for a while before its engines report it; until then connections fail and
 * queues are full. A caller that is told to retry as for these would retry during the same outage
 * and be lost.
 */
export function planRefusalCause(cause: RefusalCause, hasGroupStopped: boolean): RefusalCause {
  switch (cause) {
    case RefusalCause.Full:
    case RefusalCause.Crowded:
    case RefusalCause.Contended:
    case RefusalCause.BudgetSpent:
      return hasGroupStopped ? RefusalCause.GroupBroken : cause;
    case RefusalCause.NoConfiguration:
    case RefusalCause.NoServer:
    case RefusalCause.BackingOff:
    case RefusalCause.GroupBroken:
    case RefusalCause.Quarantined:
    case RefusalCause.Expired:
    case RefusalCause.ShuttingDown:
    case RefusalCause.Overloaded:
      return cause;
    default: {
      const unreachable: never = cause;
      return unreachable;
    }
  }
}

/** Time after which each cause has typically passed, in milliseconds. */
const TYPICAL_MILLISECONDS: Readonly<Record<RefusalCause, number>> = {
  // The first read of the store takes two round trips.
  [RefusalCause.NoConfiguration]: 400,
  // A replaced server is listed within a heartbeat.
  [RefusalCause.NoServer]: 1500,
  // Answers take one to two seconds, so a queue advances in that time.
  [RefusalCause.Full]: 1200,
  // The backlog after an outage is gone in two to six seconds; callers retry once, so rather late.
  [RefusalCause.Crowded]: 2400,
  // Used if its class states no time.
  [RefusalCause.Contended]: 2400,
  // Used if the server states no time.
  [RefusalCause.BackingOff]: 2400,
  // Used until recorded outages give a better estimate.
  [RefusalCause.GroupBroken]: 2900,
  [RefusalCause.BudgetSpent]: 1200,
  // Longer than any caller waits.
  [RefusalCause.Quarantined]: 600_000,
  [RefusalCause.Expired]: 0,
  // Other entries can serve the request at once.
  [RefusalCause.ShuttingDown]: 0,
  // A retry reaches another entry; paused and stalled bodies give way within two seconds.
  [RefusalCause.Overloaded]: 400,
};

/** Callers wait no longer than this share of the time they have left. */
const MAXIMUM_SHARE = 1 / 3;
/** Random share by which times differ, so that callers do not retry together. */
const JITTER = 0.35;

export interface RetryAfterInput {
  readonly cause: RefusalCause;
  readonly remainingMilliseconds: number;
  /** Uniform in [0, 1). */
  readonly random: number;
  /** Milliseconds within which a group is likely to run again, or a backoff ends, if known. */
  readonly likelyMilliseconds?: number | undefined;
}

/** Time after which the caller should retry, in milliseconds. */
export function planRetryAfter(input: RetryAfterInput): number {
  const { cause, remainingMilliseconds, random, likelyMilliseconds } = input;
  const longest = remainingMilliseconds * MAXIMUM_SHARE;
  const expectedMilliseconds = likelyMilliseconds ?? TYPICAL_MILLISECONDS[cause];
  // A retry while the group is still stopped, or during the backoff, is wasted, so the jitter is
  // added; other causes pass gradually, so it is subtracted.
  const isJitterAdded = cause === RefusalCause.GroupBroken || cause === RefusalCause.BackingOff;
  return Math.floor(
    isJitterAdded
      ? Math.min(expectedMilliseconds * (1 + JITTER * random), longest)
      : Math.min(expectedMilliseconds, longest) * (1 - JITTER * random),
  );
}
