/**
 * A budget for extra attempts. When servers refuse because they are overloaded, unlimited
 * retries multiply the load that made them refuse, and goodput collapses. Each first
 * attempt earns a share of one retry; a small reserve lets a quiet entry retry at all.
 */
export interface RetryBudget {
  /** Counts a first attempt. */
  deposit(): void;
  /** Takes one retry; false when the budget is spent. */
  tryWithdraw(): boolean;
}

const DEFAULT_RESERVE = 10;

export function createRetryBudget(ratio: number, reserve = DEFAULT_RESERVE): RetryBudget {
  let balance = reserve;
  return {
    deposit() {
      balance = Math.min(balance + ratio, reserve * 10);
    },
    tryWithdraw() {
      if (balance < 1) return false;
      balance -= 1;
      return true;
    },
  };
}
