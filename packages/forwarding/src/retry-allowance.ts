/**
 * The retries that one process may send to one service, as its part of a budget that all entries
 * share. The budget limits the retries of all entries, in any window of time, to a ratio of the
 * requests plus a fixed slack.
 *
 * Two token buckets hold the sum without communication. The first earns tokens from the process's
 * own requests, and holds no more than a part of what the requests of the last window may use. The
 * second earns the entry's part of the slack as time passes. In any window a process spends at most
 * what its buckets held at the beginning plus what they earned since, and both parts together stay
 * below one. A process that starts anew has nothing but a single retry, however much its
 * predecessor has spent.
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

export interface RetryAllowance {
  /** Records a caller's request. */
  recordRequest(): void;
  /** Uses one retry; false if there is none left. */
  trySpend(): boolean;
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
 * Their sum is below one because retries of two seconds may arrive together.
 */
const REQUEST_EARNED_SHARE = 0.55;
const REQUEST_HELD_SHARE = 0.3;
/** The same for the slack, by window. The rest of it is for processes that start anew. */
const SLACK_EARNED_SHARE = 0.38;
const SLACK_HELD_SHARE = 0.3;
/** Part of an entry's slack that a process has when it starts. */
const SLACK_OPENING_SHARE = 0.1;

/** Retries that a process has when it starts: enough for a first request that meets a bad server. */
function openingOf(ownSlack: number): number {
  return Math.min(1, SLACK_OPENING_SHARE * ownSlack);
}

export function createRetryAllowance(options: RetryAllowanceOptions): RetryAllowance {
  const { limits, now } = options;
  const requests: number[] = [];
  const retries: number[] = [];
  let fromRequests = 0;
  let fromSlack = openingOf(ownSlack());
  let updatedAt = options.startedAt;

  function ownSlack(): number {
    return limits().slack / Math.max(1, options.entries());
  }

  function update(): void {
    const { ratio, windowMilliseconds } = limits();
    const from = now() - windowMilliseconds;
    while ((requests[0] ?? Infinity) < from) requests.shift();
    while ((retries[0] ?? Infinity) < from) retries.shift();
    const slack = ownSlack();
    const earned = (SLACK_EARNED_SHARE * slack * (now() - updatedAt)) / windowMilliseconds;
    updatedAt = now();
    fromSlack = Math.min(fromSlack + earned, SLACK_HELD_SHARE * slack);
    fromRequests = Math.min(fromRequests, REQUEST_HELD_SHARE * ratio * requests.length);
  }

  return {
    recordRequest() {
      update();
      requests.push(now());
      fromRequests += REQUEST_EARNED_SHARE * limits().ratio;
    },
    trySpend() {
      update();
      if (fromRequests + fromSlack < 1) return false;
      const part = Math.min(1, fromRequests);
      fromRequests -= part;
      fromSlack -= 1 - part;
      retries.push(now());
      return true;
    },
    refund() {
      update();
      retries.pop();
      fromSlack += 1;
    },
    available() {
      update();
      return fromRequests + fromSlack;
    },
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
