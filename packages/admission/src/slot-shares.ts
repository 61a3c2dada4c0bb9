/**
 * Keeps a few slots of a server free for accounts that use less than their share. Slots come
 * free in bursts, because a batch that started together ends together; without this a small
 * account waits for a whole answer of a large one that has filled every slot.
 */
export interface SlotShares {
  /** Whether an account may take a slot while so many of `limit` are taken. */
  mayStart(account: string, running: number, limit: number, now: number): boolean;
  started(account: string, now: number): void;
  ended(account: string): void;
  /** A request of the account came, whether or not it could start. */
  seen(account: string, now: number): void;
}

/** One slot in so many is kept. Smaller servers have none to spare. */
const RESERVED_SHARE = 8;
/** How long after its last request an account still counts as active. */
const ACTIVE_MILLISECONDS = 5000;

interface Usage {
  running: number;
  seenAt: number;
}

export function createSlotShares(): SlotShares {
  const accounts = new Map<string, Usage>();

  function usageOf(account: string): Usage {
    const known = accounts.get(account);
    if (known !== undefined) return known;
    const usage: Usage = { running: 0, seenAt: -Infinity };
    accounts.set(account, usage);
    return usage;
  }

  function countActive(now: number): number {
    let active = 0;
    for (const [account, { running, seenAt }] of accounts) {
      if (running > 0 || now - seenAt <= ACTIVE_MILLISECONDS) active += 1;
      else accounts.delete(account);
    }
    return active;
  }

  return {
    mayStart(account, running, limit, now) {
      if (running >= limit) return false;
      const reserved = Math.floor(limit / RESERVED_SHARE);
      if (running < limit - reserved) return true;
      const active = Math.max(1, countActive(now));
      return active === 1 || usageOf(account).running < limit / active;
    },
    started(account, now) {
      const usage = usageOf(account);
      usage.running += 1;
      usage.seenAt = now;
    },
    ended(account) {
      const usage = usageOf(account);
      usage.running = Math.max(0, usage.running - 1);
    },
    seen(account, now) {
      usageOf(account).seenAt = now;
    },
  };
}
