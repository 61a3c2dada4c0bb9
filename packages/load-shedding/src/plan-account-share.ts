/**
 * Max-min fair division of a service's capacity among client accounts. Answers an account that
 * sends more than its share while the service is short, such as a herd whose refused requests
 * repeat at once: accounts below their share keep what they ask for, and the others divide the rest
 * by weight. Pure.
 */

/** Demand of some accounts that send alike. */
export interface WeightedDemand {
  /** Of all these accounts together. */
  readonly requestsPerSecond: number;
  /** Weight of each account. */
  readonly weight: number;
  readonly accounts: number;
}

/** Lowest share that is assumed, so that no account is shut out. */
const MINIMUM_ADMITTED_SHARE = 0.01;

/** Demand of each account for each unit of its weight. */
function computeRelativeDemand({ requestsPerSecond, weight, accounts }: WeightedDemand): number {
  return requestsPerSecond / (weight * accounts);
}

/** Demands in the order in which they are satisfied, with the sums of those before each. */
export interface OrderedDemand {
  readonly relativeDemands: readonly number[];
  /** Sum of the requests per second of the demands before each, and of all. */
  readonly requestsPerSecondBefore: readonly number[];
  readonly weightBefore: readonly number[];
}

export function orderDemand(demands: readonly WeightedDemand[]): OrderedDemand {
  const ordered = demands.map((demand) => ({ demand, relative: computeRelativeDemand(demand) }));
  ordered.sort((one, other) => one.relative - other.relative);
  const requestsPerSecondBefore = [0];
  const weightBefore = [0];
  let requestsPerSecond = 0;
  let weight = 0;
  for (const { demand } of ordered) {
    requestsPerSecond += demand.requestsPerSecond;
    weight += demand.weight * demand.accounts;
    requestsPerSecondBefore.push(requestsPerSecond);
    weightBefore.push(weight);
  }
  return {
    relativeDemands: ordered.map(({ relative }) => relative),
    requestsPerSecondBefore,
    weightBefore,
  };
}

/**
 * Requests per second that an account of weight 1 may send; Infinity if all demand is admitted.
 */
export function planFairRate(demand: OrderedDemand, admittedShare: number): number {
  if (!(admittedShare < 1)) return Infinity;
  const { relativeDemands, requestsPerSecondBefore, weightBefore } = demand;
  const capacity =
    (requestsPerSecondBefore.at(-1) ?? 0) * Math.max(MINIMUM_ADMITTED_SHARE, admittedShare);
  const totalWeight = weightBefore.at(-1) ?? 0;
  /** Fair rate if all demands before this one are satisfied. */
  const fairRateAt = (index: number): number =>
    (capacity - (requestsPerSecondBefore[index] ?? 0)) / (totalWeight - (weightBefore[index] ?? 0));
  // The first demand that exceeds the fair rate of those from it on.
  let low = 0;
  let high = relativeDemands.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((relativeDemands[middle] ?? 0) > fairRateAt(middle)) high = middle;
    else low = middle + 1;
  }
  return low < relativeDemands.length ? fairRateAt(low) : Infinity;
}

/** Probability with which a request of an account is admitted. */
export function planAccountShare(
  { requestsPerSecond, weight }: Omit<WeightedDemand, 'accounts'>,
  fairRate: number,
): number {
  if (requestsPerSecond <= 0) return 1;
  return Math.min(1, (fairRate * weight) / requestsPerSecond);
}
