/**
 * Retry budget. When servers refuse requests because they are overloaded, unlimited retries
 * multiply the load that made them refuse, and goodput collapses. Each first attempt adds a share
 * of one retry to the budget, and an initial reserve allows retries while an entry has little
 * traffic. Unused retries accumulate up to ten times the reserve.
 */
export interface RetryBudget {
  /** Records a first attempt, which adds to the budget. */
  deposit(): void;
  /** Takes one retry from the budget; false when the budget is used up. */
  tryWithdraw(): boolean;
}

const DEFAULT_RESERVE = 10;

/** `ratio` is the number of retries that each first attempt adds. */
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
