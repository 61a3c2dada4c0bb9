/**
 * What one sidecar remembers of the at-most-once keys it was asked to run. While the table
 * is down no row can prove "not run"; then every sidecar of the service is asked for its
 * memory instead.
 */
const MAXIMUM_KEYS = 100_000;

export interface SeenKeys {
  add(account: string, idempotencyKey: string): void;
  has(account: string, idempotencyKey: string): boolean;
  /** False once old keys had to be dropped: then absence proves nothing. */
  readonly complete: boolean;
}

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
