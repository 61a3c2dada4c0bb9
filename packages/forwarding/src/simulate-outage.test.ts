import { expect, it } from 'vitest';

import { emptyResult, countLost, simulateOutage } from './simulate-outage.js';
import type { OutageScenario, OutageResult } from './simulate-outage.js';
import { CallerEnd } from './simulated-caller.js';

const SEEDS = [1, 2, 3, 4, 5];

/** Sums the results of several seeds, each with one outage at 58% of the servers' capacity. */
function simulateSeeds(
  durationMilliseconds: number,
  fields: Partial<OutageScenario> = {},
): OutageResult {
  const sum = emptyResult();
  for (const seed of SEEDS) {
    const result = simulateOutage({
      seed,
      callersPerSecond: 53,
      slots: 128,
      durationMilliseconds,
      ...fields,
    });
    sum.asked += result.asked;
    sum.avoidablyLost += result.avoidablyLost;
    for (const end of Object.values(CallerEnd)) sum.ends[end] += result.ends[end];
  }
  return sum;
}

it.each([1500, 2500, 3500, 4500, 6000, 7500])(
  'serves every caller that could be served in an outage of %i ms',
  (durationMilliseconds) => {
    // A rank restarts, and its group is stopped for some seconds. Callers retry once. Those that
    // arrive so late that their retry and their waiting time extend beyond the outage must not be
    // refused twice.
    expect(simulateSeeds(durationMilliseconds).avoidablyLost).toBe(0);
  },
);

it('serves callers whose answer was interrupted where outages are known to be short', () => {
  // Callers of interrupted answers ask for the rest at once, which is their only retry. The group
  // recovers within two seconds of that: refused at once they would all be lost, as many as the
  // servers were running.
  expect(countLost(simulateSeeds(2500, { pastOutagesMilliseconds: [800, 1000] }))).toBe(0);
});

it('answers callers in time again sooner than in order of arrival', () => {
  // In order of arrival, the streams that waited fill every slot, and later ones are queued behind
  // them. The servers complete more than arrives, so the queue shrinks slowly, and every caller is
  // late until then.
  const before = simulateSeeds(4500, { callersPerSecond: 58, isFirstComeFirstServed: true });
  const after = simulateSeeds(4500, { callersPerSecond: 58 });
  expect(after.ends[CallerEnd.InTime]).toBeGreaterThan(1.4 * before.ends[CallerEnd.InTime]);
  expect(countLost(after)).toBeLessThanOrEqual(countLost(before));
});
