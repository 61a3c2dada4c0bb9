/**
 * The retries that one process may send to one service, as its part of a budget that all entries
 * share. The budget limits the retries of all entries, in any window of time, to a ratio of the
 * requests plus a fixed slack. The sum holds without communication:
 *
 * - A token bucket earns retries from the process's own requests. It holds no more than a part of
 *   what the requests of the last window allow, so that in any window a process spends at most what
 *   it held at the beginning and what it has earned since.
 * - The entry's part of the slack may be spent once in a window. A process that has just started
 *   gets one retry and little more until what its predecessor has spent no longer counts.
 *
 * The process grants a retry that only saves a refused caller from returning later while enough is
 * left for requests that would otherwise fail.
 */
export interface RetryBudgetLimits {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries in a window whatever the number of requests. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

export interface RetryAllowanceOptions {
  limits(): RetryBudgetLimits;
  /** Number of entries that share the slack; too high a number only makes the parts smaller. */
  entries(): number;
  /** When the process started. */
  readonly startedAt: number;
  now(): number;
}

export enum RetryUrgency {
  /** Without the retry the request fails. */
  Needed = 'needed',
  /** Without the retry the caller can be refused, or has a chance of a late response. */
  Optional = 'optional',
}

export interface RetryAllowance {
  /** Records a caller's request. */
  recordRequest(): void;
  /** Uses one retry; false if there is none left for this urgency. */
  trySpend(urgency: RetryUrgency): boolean;
  /** Returns a retry that was not sent. */
  refund(): void;
  /** Number of retries that may be sent now. */
  available(): number;
  /** Requests of the last window. */
  recentRequests(): number;
  /** Retries of the last window. */
  recentRetries(): number;
}

/**
 * Parts of the budget for requests that are earned with each request, and that may be held at once.
 * A window may contain what was held before it, and the earnings of twelve seconds, since retries
 * of two seconds may arrive together.
 */
const REQUEST_EARNED_SHARE = 0.478;
/** The same for a process whose predecessor's retries may still count. */
const REQUEST_EARNED_YOUNG_SHARE = 0.43;
const REQUEST_HELD_SHARE = 0.425;
/** Part of the entry's slack that a process spends in a window. */
const SLACK_SHARE = 0.61;
/** The same for a process that has just started, in proportion to its age; and at its start. */
const SLACK_YOUNG_SHARE = 0.13;
const SLACK_OPENING_SHARE = 0.1;
/** Retries of this time may arrive together, so that they count in a window later than sent. */
const ARRIVAL_MARGIN_MILLISECONDS = 2000;
/** Part of what a process may hold that is left for requests that need their retry. */
const NEEDED_SHARE = 0.4;

export function createRetryAllowance(options: RetryAllowanceOptions): RetryAllowance {
  const { limits, startedAt, now } = options;
  const requests: number[] = [];
  const retries: number[] = [];
  /** Retries, or parts of one, that were taken from the slack. */
  const slackUses: { readonly at: number; readonly amount: number }[] = [];
  let fromRequests = 0;

  function heldAtMost(): number {
    return REQUEST_HELD_SHARE * limits().ratio * requests.length;
  }

  /** Age as a share of the one from which the retries of the predecessor no longer count. */
  function settledShare(): number {
    const settledAge = limits().windowMilliseconds + ARRIVAL_MARGIN_MILLISECONDS;
    return (now() - startedAt) / settledAge;
  }

  /** Retries that may be taken from the slack in a window. */
  function slackLimit(): number {
    const own = limits().slack / Math.max(1, options.entries());
    const settled = settledShare();
    if (settled >= 1) return SLACK_SHARE * own;
    return Math.min(1, SLACK_OPENING_SHARE * own) + SLACK_YOUNG_SHARE * own * settled;
  }

  function earnedShare(): number {
    return settledShare() >= 1 ? REQUEST_EARNED_SHARE : REQUEST_EARNED_YOUNG_SHARE;
  }

  function update(): void {
    const { windowMilliseconds } = limits();
    const from = now() - windowMilliseconds;
    while ((requests[0] ?? Infinity) < from) requests.shift();
    while ((retries[0] ?? Infinity) < from) retries.shift();
    while ((slackUses[0]?.at ?? Infinity) < from - ARRIVAL_MARGIN_MILLISECONDS) slackUses.shift();
    fromRequests = Math.min(fromRequests, heldAtMost());
  }

  function available(): number {
    update();
    const used = slackUses.reduce((sum, { amount }) => sum + amount, 0);
    return fromRequests + Math.max(0, slackLimit() - used);
  }

  function reserveFor(urgency: RetryUrgency): number {
    switch (urgency) {
      case RetryUrgency.Needed:
        return 0;
      case RetryUrgency.Optional:
        return NEEDED_SHARE * Math.max(0, heldAtMost() + slackLimit() - 1);
      default: {
        const unreachable: never = urgency;
        return unreachable;
      }
    }
  }

  return {
    recordRequest() {
      update();
      requests.push(now());
      fromRequests += earnedShare() * limits().ratio;
    },
    trySpend(urgency) {
      if (available() < 1 + reserveFor(urgency)) return false;
      const amount = 1 - Math.min(1, fromRequests);
      fromRequests -= 1 - amount;
      slackUses.push({ at: now(), amount });
      retries.push(now());
      return true;
    },
    refund() {
      update();
      retries.pop();
      fromRequests += 1 - (slackUses.pop()?.amount ?? 0);
    },
    available,
    recentRequests() {
      update();
      return requests.length;
    },
    recentRetries() {
      update();
      return retries.length;
    },
  };
}
