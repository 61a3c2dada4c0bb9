/**
 * This entry's share of the deployment-wide retry budget. The budget limits the sum over all
 * entries, in any window, to a ratio of the requests plus a fixed slack. Each entry uses the ratio
 * of its own requests and its part of the slack, so the sum holds without communication;
 * overestimating the number of entries only makes the shares smaller.
 */
import type { Logger } from '@lapisbridge/logger';

import { OutcomeKind } from './outcome.js';
import type { Outcome } from './outcome.js';

/** Why a request is sent once more. */
export enum RetryCause {
  /** A server refused the request or could not be reached. */
  Refused = 'refused',
  /** The response was lost. */
  Lost = 'lost',
  /** A stream that has begun continues at another server. */
  Resumed = 'resumed',
  /** The response is late, so a second server is asked as well. */
  Hedged = 'hedged',
}

/** Cause of the retry after an attempt that ended without a response for the caller. */
export function retryCauseAfter(outcomes: readonly Outcome[]): RetryCause {
  return outcomes.at(-1)?.kind === OutcomeKind.NotRun ? RetryCause.Refused : RetryCause.Lost;
}

/** Number of retries since the process started. */
export interface RetryCount {
  readonly service: string;
  readonly cause: RetryCause;
  readonly granted: number;
  /** Retries that the exhausted share did not allow. */
  readonly denied: number;
}

export interface RetryBudgetShare {
  /** Records a caller's request for a service. */
  recordRequest(service: string): void;
  /** Uses one retry for a service; false if the share is exhausted. */
  trySpend(service: string, cause: RetryCause): boolean;
  counts(): readonly RetryCount[];
}

export interface RetryBudgetLimits {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMilliseconds: number;
}

export interface RetryBudgetShareOptions {
  bounds(): RetryBudgetLimits;
  /** Number of entries that share the slack. */
  entries(): number;
  readonly logger: Logger;
  now(): number;
}

/** Minimum time between two log lines about one service. */
const LOG_INTERVAL_MILLISECONDS = 1000;
/** Share of the budget that is used, so that requests at the edge of a window cannot violate it. */
const USED_SHARE = 0.7;

interface ServiceWindow {
  readonly requests: number[];
  readonly repeats: number[];
  readonly counts: Map<RetryCause, { granted: number; denied: number }>;
  loggedAt: number;
  deniedSinceLog: number;
}

export function createRetryBudgetShare(options: RetryBudgetShareOptions): RetryBudgetShare {
  const { bounds, entries, logger, now } = options;
  const windows = new Map<string, ServiceWindow>();

  function windowOf(service: string): ServiceWindow {
    let window = windows.get(service);
    if (window === undefined) {
      window = {
        requests: [],
        repeats: [],
        counts: new Map(),
        loggedAt: -Infinity,
        deniedSinceLog: 0,
      };
      windows.set(service, window);
    }
    const from = now() - bounds().windowMilliseconds;
    while ((window.requests[0] ?? Infinity) < from) window.requests.shift();
    while ((window.repeats[0] ?? Infinity) < from) window.repeats.shift();
    return window;
  }

  function logUsage(service: string, window: ServiceWindow, share: number): void {
    if (now() - window.loggedAt < LOG_INTERVAL_MILLISECONDS) return;
    window.loggedAt = now();
    logger.info('retry budget', {
      service,
      spent: window.repeats.length,
      share: Number(share.toFixed(1)),
      requests: window.requests.length,
      entries: entries(),
      denied: window.deniedSinceLog,
    });
    window.deniedSinceLog = 0;
  }

  return {
    recordRequest(service) {
      windowOf(service).requests.push(now());
    },
    trySpend(service, cause) {
      const window = windowOf(service);
      const { ratio, slack } = bounds();
      const share = USED_SHARE * (ratio * window.requests.length + slack / Math.max(1, entries()));
      const isGranted = window.repeats.length + 1 <= share;
      const count = window.counts.get(cause) ?? { granted: 0, denied: 0 };
      window.counts.set(cause, count);
      if (isGranted) {
        window.repeats.push(now());
        count.granted += 1;
      } else {
        window.deniedSinceLog += 1;
        count.denied += 1;
      }
      logUsage(service, window, share);
      return isGranted;
    },
    counts() {
      const all: RetryCount[] = [];
      for (const [service, { counts }] of windows) {
        for (const [cause, count] of counts) all.push({ service, cause, ...count });
      }
      return all;
    },
  };
}
