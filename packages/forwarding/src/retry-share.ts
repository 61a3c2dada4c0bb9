/**
 * This entry's share of the deployment's retry budget. The bound holds for the sum over all
 * entries: a ratio of the requests plus a fixed slack, in any window. Each entry takes the
 * ratio of its own requests, and its part of the slack, so no message is needed for the sum to
 * hold; counting too many entries only makes the shares smaller.
 */
export interface RetryShare {
  /** Counts a caller's request for a service. */
  count(service: string): void;
  /** Takes one repeat for a service; false when the share is spent. */
  spend(service: string): boolean;
}

export interface RetryBounds {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** Part of the bound that is used, so that requests counted at a window's edge break nothing. */
const SAFETY = 0.7;

interface Window {
  readonly requests: number[];
  readonly repeats: number[];
}

export function createRetryShare(
  bounds: () => RetryBounds,
  entries: () => number,
  now: () => number,
): RetryShare {
  const windows = new Map<string, Window>();

  function windowOf(service: string): Window {
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
    count(service) {
      windowOf(service).requests.push(now());
    },
    spend(service) {
      const window = windowOf(service);
      const { ratio, slack } = bounds();
      const share = SAFETY * (ratio * window.requests.length + slack / Math.max(1, entries()));
      if (window.repeats.length + 1 > share) return false;
      window.repeats.push(now());
      return true;
    },
  };
}
