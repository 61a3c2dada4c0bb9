/**
 * This entry's share of the deployment-wide retry budget. The budget limits the sum over all
 * entries, in any window, to a ratio of the requests plus a fixed slack. Each entry uses the ratio
 * of its own requests and its part of the slack, so the sum holds without communication;
 * overestimating the number of entries only makes the shares smaller.
 */
export interface RetryBudgetShare {
  /** Records a caller's request for a service. */
  recordRequest(service: string): void;
  /** Uses one retry for a service; false if the share is exhausted. */
  trySpend(service: string): boolean;
}

export interface RetryBudgetLimits {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** Share of the budget that is used, so that requests at the edge of a window cannot violate it. */
const USED_SHARE = 0.7;

interface ServiceWindow {
  readonly requests: number[];
  readonly repeats: number[];
}

export function createRetryBudgetShare(
  bounds: () => RetryBudgetLimits,
  entries: () => number,
  now: () => number,
): RetryBudgetShare {
  const windows = new Map<string, ServiceWindow>();

  function windowOf(service: string): ServiceWindow {
    let window = windows.get(service);
    if (window === undefined) {
      window = { requests: [], repeats: [] };
      windows.set(service, window);
    }
    const from = now() - bounds().windowMilliseconds;
    while ((window.requests[0] ?? Infinity) < from) window.requests.shift();
    while ((window.repeats[0] ?? Infinity) < from) window.repeats.shift();
    return window;
  }

  return {
    recordRequest(service) {
      windowOf(service).requests.push(now());
    },
    trySpend(service) {
      const window = windowOf(service);
      const { ratio, slack } = bounds();
      const share = USED_SHARE * (ratio * window.requests.length + slack / Math.max(1, entries()));
      if (window.repeats.length + 1 > share) return false;
      window.repeats.push(now());
      return true;
    },
  };
}
