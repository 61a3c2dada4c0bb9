/**
 * Retry budget. When servers refuse requests because they are overloaded, unlimited retries
 * multiply the load that made them refuse, and goodput collapses. Each first attempt adds a share
 * of one retry to the budget, and a reserve that refills with time allows retries while an entry
 * has little traffic. Unused retries accumulate up to ten times the reserve.
 *
 * A new process has a single retry: with a full reserve, entries that are restarted again and again
 * would retry far more than the budget allows.
 */
export interface RetryBudget {
  /** Records a first attempt, which adds to the budget. */
  deposit(): void;
  /** Takes one retry from the budget; false when the budget is used up. */
  tryWithdraw(): boolean;
}

export interface RetryBudgetOptions {
  /** Number of retries that each first attempt adds. */
  ratio(): number;
  /** Retries that a process without traffic has after `REFILL_MILLISECONDS`. */
  readonly reserve?: number;
  now(): number;
}

const DEFAULT_RESERVE = 10;
const REFILL_MILLISECONDS = 60_000;
const OPENING_RETRIES = 1;

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { ratio, reserve = DEFAULT_RESERVE, now } = options;
  let balance = OPENING_RETRIES;
  let updatedAt = now();

  function refill(): void {
    const earned = (reserve * (now() - updatedAt)) / REFILL_MILLISECONDS;
    updatedAt = now();
    if (balance < reserve) balance = Math.min(reserve, balance + earned);
  }

  return {
    deposit() {
      refill();
      balance = Math.min(balance + ratio(), reserve * 10);
    },
    tryWithdraw() {
      refill();
      if (balance < 1) return false;
      balance -= 1;
      return true;
    },
  };
}
