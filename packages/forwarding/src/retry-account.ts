/**
 * The retries of one request. A retry is charged to the budget when it reaches a server after
 * another attempt has: an attempt whose connection was never established adds no load to a service,
 * so neither it nor the attempt that replaces it is charged.
 */
import type { RetryBudgetShare, RetryCause } from './retry-budget-share.js';

export interface RetryAccount {
  /** Called before each attempt. Returns false if the budget does not allow it. */
  tryBegin(cause: RetryCause): boolean;
  /** An attempt ended before anything was sent. */
  onNotSent(): void;
}

export function createRetryAccount(
  share: Pick<RetryBudgetShare, 'trySpend' | 'refund'>,
  service: string,
): RetryAccount {
  /** Attempts that have reached a server or may still do so. */
  let attempts = 0;
  const charged: RetryCause[] = [];

  return {
    tryBegin(cause) {
      if (attempts > 0) {
        if (!share.trySpend(service, cause)) return false;
        charged.push(cause);
      }
      attempts += 1;
      return true;
    },
    onNotSent() {
      attempts -= 1;
      if (charged.length < Math.max(1, attempts)) return;
      const cause = charged.pop();
      if (cause !== undefined) share.refund(service, cause);
    },
  };
}
