/**
 * Compares the retries that reach a service with its retry budget, in every window of time. Pure.
 */
export interface RetryLimits {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Retries allowed in any window whatever the number of requests. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** One window; its requests are those of the window, of the one before or of the one halfway. */
export interface RetryWindow {
  readonly from: number;
  readonly retries: number;
  readonly requests: number;
  readonly allowed: number;
}

/** Number of the ascending `times` in [from, to]. */
function countWithin(times: readonly number[], from: number, to: number): number {
  return firstAfter(times, to) - firstAfter(times, from, true);
}

/** Index of the first time after `at`, or at or after it if `isInclusive`. */
function firstAfter(times: readonly number[], at: number, isInclusive = false): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    const time = times[middle] ?? Infinity;
    if (time < at || (time === at && !isInclusive)) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Window with the most retries beyond those allowed; undefined without retries. Times ascend. */
export function findWorstRetryWindow(
  requestedAt: readonly number[],
  retriedAt: readonly number[],
  { ratio, slack, windowMilliseconds }: RetryLimits,
): RetryWindow | undefined {
  let worst: RetryWindow | undefined;
  for (const from of retriedAt) {
    const retries = countWithin(retriedAt, from, from + windowMilliseconds);
    let requests = 0;
    for (const shift of [0, 0.5, 1]) {
      const start = from - shift * windowMilliseconds;
      requests = Math.max(requests, countWithin(requestedAt, start, start + windowMilliseconds));
    }
    const allowed = ratio * requests + slack;
    if (worst === undefined || retries - allowed > worst.retries - worst.allowed) {
      worst = { from, retries, requests, allowed };
    }
  }
  return worst;
}
