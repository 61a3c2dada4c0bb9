/**
 * Retry budget. When servers refuse requests because they are overloaded, unlimited retries
 * multiply the load that made them refuse, and goodput collapses. Each first attempt adds a share
 * of one retry to the budget, and a reserve allows retries while an entry has little traffic.
 * Unused retries accumulate up to ten times the reserve.
 *
 * A new process has a single retry and earns the reserve in its first seconds: with a full reserve,
 * entries that are restarted again and again would retry far more than the budget allows.
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
  /** Retries that a process without traffic has once it has run for a while. */
  readonly reserve?: number;
  now(): number;
}

const DEFAULT_RESERVE = 10;
/** Time from the start within which a process earns its reserve. */
const RESERVE_MILLISECONDS = 10_000;
const OPENING_RETRIES = 1;

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { ratio, reserve = DEFAULT_RESERVE, now } = options;
  let balance = OPENING_RETRIES;
  const startedAt = now();
  let earned = OPENING_RETRIES;

  function earnReserve(): void {
    if (earned === reserve) return;
    const part = Math.min(1, (now() - startedAt) / RESERVE_MILLISECONDS);
    const earnedBefore = earned;
    earned = OPENING_RETRIES + (reserve - OPENING_RETRIES) * part;
    balance += earned - earnedBefore;
  }

  return {
    deposit() {
      earnReserve();
      balance = Math.min(balance + ratio(), reserve * 10);
    },
    tryWithdraw() {
      earnReserve();
      if (balance < 1) return false;
      balance -= 1;
      return true;
    },
  };
}
