/**
 * Sets the gain that a change of maps needs, as a multiple of the policy's minimum. Following each
 * swing of the load would move experts without a gain. So if the next window shows that the map
 * before the change would have been better, the next change has to gain twice as much.
 * Otherwise the factor decays to 1.
 */
import { predictRankTimes } from './expert-map.js';
import type { ExpertLoad, ExpertMap } from './expert-map.js';

export const INITIAL_THRESHOLD_FACTOR = 1;
const MAXIMUM_THRESHOLD_FACTOR = 32;
const INCREASE_FACTOR = 2;
const DECAY_FACTOR = 0.93;

/** `previous` is the map before the last change; undefined when the last window changed nothing. */
export function planThresholdFactor(
  thresholdFactor: number,
  current: ExpertMap,
  previous: ExpertMap | undefined,
  load: ExpertLoad,
): number {
  if (previous === undefined)
    return Math.max(INITIAL_THRESHOLD_FACTOR, thresholdFactor * DECAY_FACTOR);
  const slowestNow = Math.max(...predictRankTimes(current, load));
  const slowestBefore = Math.max(...predictRankTimes(previous, load));
  if (slowestNow > slowestBefore)
    return Math.min(MAXIMUM_THRESHOLD_FACTOR, thresholdFactor * INCREASE_FACTOR);
  return Math.max(INITIAL_THRESHOLD_FACTOR, thresholdFactor * DECAY_FACTOR);
}
