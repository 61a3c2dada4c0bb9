/**
 * How much more than the policy's minimum a change has to gain. A load that swings back and
 * forth tempts a planner to follow each swing; each time the next window shows that the map
 * before the change would have been better, the next change has to gain twice as much.
 */
import { rankTimes } from './expert-map.js';
import type { ExpertLoad, ExpertMap } from './expert-map.js';

export const INITIAL_CAUTION = 1;
const MAXIMUM_CAUTION = 32;
const RAISE = 2;
const DECAY = 0.93;

/** `previous` is the map before the last change; undefined when the last window changed nothing. */
export function planCaution(
  caution: number,
  current: ExpertMap,
  previous: ExpertMap | undefined,
  load: ExpertLoad,
): number {
  if (previous === undefined) return Math.max(INITIAL_CAUTION, caution * DECAY);
  const now = Math.max(...rankTimes(current, load));
  const before = Math.max(...rankTimes(previous, load));
  if (now > before) return Math.min(MAXIMUM_CAUTION, caution * RAISE);
  return Math.max(INITIAL_CAUTION, caution * DECAY);
}
