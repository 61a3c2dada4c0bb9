/**
 * A budget for extra attempts. When servers refuse because they are overloaded, unlimited
 * retries multiply the load that made them refuse, and goodput collapses. Each first
 * attempt earns a share of one retry; a small reserve lets a quiet entry retry at all.
 */
export interface RetryBudget {
  /** Counts a first attempt. */
  earn(): void;
  /** Takes one retry; false when the budget is spent. */
  spend(): boolean;
}

const RESERVE = 10;

export function createRetryBudget(ratio: number, reserve = RESERVE): RetryBudget {
  let balance = reserve;
  return {
    earn() {
      balance = Math.min(balance + ratio, reserve * 10);
    },
    spend() {
      if (balance < 1) return false;
      balance -= 1;
      return true;
    },
  };
}
