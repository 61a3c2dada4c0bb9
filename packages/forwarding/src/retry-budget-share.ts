/**
 * Retries of this entry, by service: what each service's allowance grants or denies, counted and
 * logged.
 */
import type { Logger } from '@lapisbridge/logger';

import { OutcomeKind } from './outcome.js';
import type { Outcome } from './outcome.js';
import { createRetryAllowance, RetryUrgency } from './retry-allowance.js';
import type { RetryAllowance, RetryBudgetLimits } from './retry-allowance.js';

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
  /** Granted retries that were not sent. */
  readonly returned: number;
  /** Retries that the used up allowance did not permit. */
  readonly denied: number;
}

export interface RetryBudgetShare {
  /** Records a caller's request for a service. */
  recordRequest(service: string): void;
  /** Uses one retry for a service; false if none is left. */
  trySpend(service: string, cause: RetryCause): boolean;
  /** Returns a retry that was not sent. */
  refund(service: string, cause: RetryCause): void;
  counts(): readonly RetryCount[];
}

export interface RetryBudgetShareOptions {
  bounds(): RetryBudgetLimits;
  /** Number of entries that share the slack. */
  entries(): number;
  readonly logger: Logger;
  /** When the process started, on the clock of `now`. */
  readonly startedAt: number;
  now(): number;
}

interface MutableCount {
  granted: number;
  returned: number;
  denied: number;
}

interface ServiceRetries {
  readonly allowance: RetryAllowance;
  readonly counts: Map<RetryCause, MutableCount>;
  loggedAt: number;
  deniedSinceLog: number;
}

const URGENCIES: Readonly<Record<RetryCause, RetryUrgency>> = {
  [RetryCause.Refused]: RetryUrgency.Optional,
  [RetryCause.Lost]: RetryUrgency.Needed,
  [RetryCause.Resumed]: RetryUrgency.Needed,
  [RetryCause.Hedged]: RetryUrgency.Optional,
};

/** Minimum time between two log lines about one service. */
const LOG_INTERVAL_MILLISECONDS = 1000;

export function createRetryBudgetShare(options: RetryBudgetShareOptions): RetryBudgetShare {
  const { bounds, entries, logger, startedAt, now } = options;
  const services = new Map<string, ServiceRetries>();

  function retriesOf(service: string): ServiceRetries {
    const known = services.get(service);
    if (known !== undefined) return known;
    const retries: ServiceRetries = {
      allowance: createRetryAllowance({ limits: bounds, entries, startedAt, now }),
      counts: new Map(),
      loggedAt: -Infinity,
      deniedSinceLog: 0,
    };
    services.set(service, retries);
    return retries;
  }

  function countOf({ counts }: ServiceRetries, cause: RetryCause): MutableCount {
    const known = counts.get(cause);
    if (known !== undefined) return known;
    const count = { granted: 0, returned: 0, denied: 0 };
    counts.set(cause, count);
    return count;
  }

  function logUsage(service: string, retries: ServiceRetries): void {
    if (now() - retries.loggedAt < LOG_INTERVAL_MILLISECONDS) return;
    retries.loggedAt = now();
    const { allowance, deniedSinceLog } = retries;
    logger.info('retry budget', {
      service,
      spent: allowance.recentRetries(),
      available: Number(allowance.available().toFixed(1)),
      requests: allowance.recentRequests(),
      entries: entries(),
      denied: deniedSinceLog,
    });
    retries.deniedSinceLog = 0;
  }

  return {
    recordRequest: (service) => retriesOf(service).allowance.recordRequest(),
    trySpend(service, cause) {
      const retries = retriesOf(service);
      const count = countOf(retries, cause);
      const isGranted = retries.allowance.trySpend(URGENCIES[cause]);
      if (isGranted) {
        count.granted += 1;
      } else {
        count.denied += 1;
        retries.deniedSinceLog += 1;
      }
      logUsage(service, retries);
      return isGranted;
    },
    refund(service, cause) {
      const retries = retriesOf(service);
      retries.allowance.refund();
      countOf(retries, cause).returned += 1;
    },
    counts() {
      const all: RetryCount[] = [];
      for (const [service, { counts }] of services) {
        for (const [cause, count] of counts) all.push({ service, cause, ...count });
      }
      return all;
    },
  };
}
