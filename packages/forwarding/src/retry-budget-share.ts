/**
 * This entry's share of the deployment's retry budget. The bound holds for the sum over all
 * entries: a ratio of the requests plus a fixed slack, in any window. Each entry takes the
 * ratio of its own requests, and its part of the slack, so no message is needed for the sum to
 * hold; counting too many entries only makes the shares smaller.
 */
export interface RetryBudgetShare {
  /** Counts a caller's request for a service. */
  recordRequest(service: string): void;
  /** Takes one repeat for a service; false when the share is spent. */
  trySpend(service: string): boolean;
}

export interface RetryBudgetLimits {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** Part of the bound that is used, so that requests counted at a window's edge break nothing. */
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
