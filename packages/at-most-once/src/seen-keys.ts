/**
 * In-memory set of the idempotency keys that one sidecar was asked to run. While the table is
 * unavailable, no claim row can prove that a call did not run; the sidecars of the service are
 * asked whether they have seen the key instead.
 */
const MAXIMUM_KEYS = 100_000;

export interface SeenKeys {
  add(account: string, idempotencyKey: string): void;
  has(account: string, idempotencyKey: string): boolean;
  /** False once old keys were evicted; a missing key then proves nothing. */
  readonly complete: boolean;
}

/** Keeps at most `maximum` keys and evicts the oldest first. */
export function createSeenKeys(maximum = MAXIMUM_KEYS): SeenKeys {
  const keys = new Set<string>();
  let complete = true;
  const compositeKey = (account: string, key: string): string => `${account}\u0000${key}`;
  return {
    get complete() {
      return complete;
    },
    add(account, idempotencyKey) {
      keys.add(compositeKey(account, idempotencyKey));
      if (keys.size <= maximum) return;
      const oldest = keys.values().next().value;
      if (oldest !== undefined) keys.delete(oldest);
      complete = false;
    },
    has: (account, idempotencyKey) => keys.has(compositeKey(account, idempotencyKey)),
  };
}
