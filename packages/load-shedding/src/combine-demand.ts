/**
 * Combines what entries state of their accounts' demand. A statement names only the largest
 * accounts; the sum of the others is spread over the accounts that the statement does not name, so
 * that accounts of like size keep like estimates and the total is exact. Pure.
 */

/** Demand for one service as an entry, a zone or the fleet sees it. */
export interface DemandStatement {
  readonly service: string;
  /** Time since an entry last saw the service short of capacity. */
  readonly contentionAgeMilliseconds: number;
  /** Requests per second by account; the largest accounts only. */
  readonly requestsPerSecond: ReadonlyMap<string, number>;
  /** Sum over the accounts that are not listed. */
  readonly otherRequestsPerSecond: number;
  readonly otherAccounts: number;
}

export interface DemandEstimate {
  readonly requestsPerSecond: ReadonlyMap<string, number>;
  readonly otherRequestsPerSecond: number;
  readonly otherAccounts: number;
}

export function sumDemand({ requestsPerSecond, otherRequestsPerSecond }: DemandEstimate): number {
  let sum = otherRequestsPerSecond;
  for (const rate of requestsPerSecond.values()) sum += rate;
  return sum;
}

/** Sums statements of different senders; `accounts` are estimated even if no statement lists them. */
export function combineDemand(
  statements: readonly DemandEstimate[],
  accounts: Iterable<string> = [],
): DemandEstimate {
  const sums = new Map<string, number>();
  for (const account of accounts) sums.set(account, 0);
  for (const { requestsPerSecond } of statements) {
    for (const account of requestsPerSecond.keys()) sums.set(account, 0);
  }
  /** Sum over the statements of what each gives to an account that it does not list. */
  let unlistedRate = 0;
  let otherRequestsPerSecond = 0;
  let otherAccounts = 0;
  for (const statement of statements) {
    const unlisted = sums.size - statement.requestsPerSecond.size;
    const sharers = Math.max(unlisted, statement.otherAccounts);
    const rate = sharers > 0 ? statement.otherRequestsPerSecond / sharers : 0;
    unlistedRate += rate;
    otherRequestsPerSecond += rate * (sharers - unlisted);
    otherAccounts += sharers - unlisted;
    for (const [account, listedRate] of statement.requestsPerSecond) {
      sums.set(account, (sums.get(account) ?? 0) + listedRate - rate);
    }
  }
  if (unlistedRate > 0) {
    for (const [account, sum] of sums) sums.set(account, Math.max(0, sum + unlistedRate));
  }
  return { requestsPerSecond: sums, otherRequestsPerSecond, otherAccounts };
}

/** Keeps the accounts for which `isListed` is true, and adds the others to the remainder. */
export function truncateDemand(
  estimate: DemandEstimate,
  isListed: (account: string) => boolean,
): DemandEstimate {
  const listed = new Map<string, number>();
  let { otherRequestsPerSecond, otherAccounts } = estimate;
  for (const [account, rate] of estimate.requestsPerSecond) {
    if (isListed(account)) {
      listed.set(account, rate);
      continue;
    }
    otherRequestsPerSecond += rate;
    otherAccounts += 1;
  }
  return { requestsPerSecond: listed, otherRequestsPerSecond, otherAccounts };
}
