/**
 * Caps the tokens one client account has in progress at this entry.
 */
import type { ClientAccount, Limits } from '@lapisbridge/config';
import { LapisError, ResultCode } from '@lapisbridge/errors';

export interface InFlightLimits {
  readonly requests: number;
  /** Counts a request in and returns what counts it out; throws `AccountLimited`. */
  enter(account: ClientAccount, tokens: number, limits: Limits): () => void;
}

export function createInFlightLimits(): InFlightLimits {
  const tokensByAccount = new Map<string, number>();
  let requests = 0;

  function add(account: string, tokens: number): void {
    const sum = (tokensByAccount.get(account) ?? 0) + tokens;
    if (sum <= 0) tokensByAccount.delete(account);
    else tokensByAccount.set(account, sum);
  }

  return {
    get requests() {
      return requests;
    },
    enter(account, tokens, limits) {
      const held = tokensByAccount.get(account.name) ?? 0;
      // One request is always let in, however long, or it could never run at all.
      if (held > 0 && held + tokens > account.maximumInFlightTokens) {
        throw new LapisError(ResultCode.AccountLimited, 'too many tokens in progress', {
          retryAfterMilliseconds: limits.retryAfterMilliseconds,
        });
      }
      add(account.name, tokens);
      requests += 1;
      let left = false;
      return () => {
        if (left) return;
        left = true;
        requests -= 1;
        add(account.name, -tokens);
      };
    },
  };
}
