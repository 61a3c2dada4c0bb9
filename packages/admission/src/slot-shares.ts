/**
 * Reserves a few slots of a backend server for accounts that use less than their share. Slots
 * become free in bursts, because requests that were batched together end together. Without a
 * reserve, a small account waits for a whole answer of a large account that has filled every slot.
 */
export interface SlotShares {
  /**
   * Whether an account may take a slot while `running` of `limit` slots are taken. `now` is
   * monotonic time in milliseconds.
   */
  mayStart(account: string, running: number, limit: number, now: number): boolean;
  requestStarted(account: string, now: number): void;
  requestEnded(account: string): void;
  /** Records the arrival of a request of the account, whether or not it can start. */
  requestArrived(account: string, now: number): void;
}

/** One slot in eight is reserved; servers with fewer slots have none to spare. */
const SLOTS_PER_RESERVED_SLOT = 8;
/** How long an account counts as active after its last request. */
const ACTIVE_MILLISECONDS = 5000;

interface AccountUsage {
  running: number;
  lastRequestAt: number;
}

export function createSlotShares(): SlotShares {
  const accounts = new Map<string, AccountUsage>();

  function usageOf(account: string): AccountUsage {
    const existing = accounts.get(account);
    if (existing !== undefined) return existing;
    const usage: AccountUsage = { running: 0, lastRequestAt: -Infinity };
    accounts.set(account, usage);
    return usage;
  }

  function countActiveAccounts(now: number): number {
    let active = 0;
    for (const [account, { running, lastRequestAt }] of accounts) {
      if (running > 0 || now - lastRequestAt <= ACTIVE_MILLISECONDS) active += 1;
      else accounts.delete(account);
    }
    return active;
  }

  return {
    mayStart(account, running, limit, now) {
      if (running >= limit) return false;
      const reserved = Math.floor(limit / SLOTS_PER_RESERVED_SLOT);
      if (running < limit - reserved) return true;
      const active = Math.max(1, countActiveAccounts(now));
      return active === 1 || usageOf(account).running < limit / active;
    },
    requestStarted(account, now) {
      const usage = usageOf(account);
      usage.running += 1;
      usage.lastRequestAt = now;
    },
    requestEnded(account) {
      const usage = usageOf(account);
      usage.running = Math.max(0, usage.running - 1);
    },
    requestArrived(account, now) {
      usageOf(account).lastRequestAt = now;
    },
  };
}
