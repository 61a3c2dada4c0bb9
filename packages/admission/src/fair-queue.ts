/**
 * A request queue that is fair between client accounts: deficit round robin over estimated tokens.
 * A first-in, first-out queue would let a burst of one large account delay every account behind
 * it. Here each account in turn is credited with tokens in proportion to its weight.
 */
export interface QueuedRequest {
  readonly account: string;
  readonly weight: number;
  readonly tokens: number;
}

interface AccountQueue<T> {
  /** Tokens that the account has been credited with and has not spent yet. */
  deficit: number;
  weight: number;
  readonly requests: T[];
}

/**
 * Tokens that an account of weight 1 is credited with in each round. It is small compared with a
 * typical request: a quantum worth many requests would let a large account start all of them
 * before the next request of a small account.
 */
export const QUANTUM_TOKENS = 16;

export interface FairQueue<T extends QueuedRequest> {
  readonly size: number;
  readonly tokens: number;
  push(request: T): void;
  /** Removes and returns the next request in fair order among the accounts that may start one. */
  shift(mayStart?: (account: string) => boolean): T | undefined;
  /** Whether any account with queued requests may start one now. */
  hasStartable(mayStart: (account: string) => boolean): boolean;
  /** Removes a request that was cancelled or timed out; false when it is not queued. */
  remove(request: T): boolean;
  /** Sum of the estimated tokens of an account's queued requests. */
  tokensOf(account: string): number;
}

export function createFairQueue<T extends QueuedRequest>(): FairQueue<T> {
  const queues = new Map<string, AccountQueue<T>>();
  let activeAccounts: string[] = [];
  let size = 0;
  let tokens = 0;

  function removeAccount(account: string): void {
    queues.delete(account);
    activeAccounts = activeAccounts.filter((name) => name !== account);
  }

  function recordRemoval(account: string, queue: AccountQueue<T>, request: T): T {
    size -= 1;
    tokens -= request.tokens;
    if (queue.requests.length === 0) removeAccount(account);
    return request;
  }

  return {
    get size() {
      return size;
    },
    get tokens() {
      return tokens;
    },
    push(request) {
      let queue = queues.get(request.account);
      if (queue === undefined) {
        queue = { deficit: 0, weight: request.weight, requests: [] };
        queues.set(request.account, queue);
        activeAccounts.push(request.account);
      }
      queue.weight = request.weight;
      queue.requests.push(request);
      size += 1;
      tokens += request.tokens;
    },
    shift(mayStart = () => true) {
      if (!activeAccounts.some(mayStart)) return undefined;
      while (activeAccounts.length > 0) {
        const [account = ''] = activeAccounts;
        if (!mayStart(account)) {
          activeAccounts.push(...activeAccounts.splice(0, 1));
          continue;
        }
        const queue = queues.get(account) as AccountQueue<T>;
        const head = queue.requests[0];
        if (queue.deficit >= head.tokens) {
          queue.deficit -= head.tokens;
          queue.requests.shift();
          return recordRemoval(account, queue, head);
        }
        queue.deficit += QUANTUM_TOKENS * queue.weight;
        activeAccounts.push(activeAccounts.shift() as string);
      }
      return undefined;
    },
    hasStartable: (mayStart) => activeAccounts.some(mayStart),
    remove(request) {
      const queue = queues.get(request.account);
      const index = queue?.requests.indexOf(request) ?? -1;
      if (queue === undefined || index < 0) return false;
      queue.requests.splice(index, 1);
      recordRemoval(request.account, queue, request);
      return true;
    },
    tokensOf(account) {
      let sum = 0;
      for (const request of queues.get(account)?.requests ?? []) sum += request.tokens;
      return sum;
    },
  };
}
