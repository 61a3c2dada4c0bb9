import { expect, it } from 'vitest';

import { emptyResult, countLost, simulateOutage } from './simulate-outage.js';
import type { OutageScenario, OutageResult } from './simulate-outage.js';
import { CallerEnd } from './simulated-caller.js';

const SEEDS = [1, 2, 3, 4, 5];

/** A day at 58% of what the servers can do, with one outage; summed over several seeds. */
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
  'serves every caller that could be reached in an outage of %i ms',
  (durationMilliseconds) => {
    // A rank restarts and its group stands still for some seconds. Callers come back once. Whoever
    // asks so late that his return and his stay reach beyond the outage must not be refused twice.
    expect(simulateSeeds(durationMilliseconds).avoidablyLost).toBe(0);
  },
);

it('serves callers whose answer broke off where outages are known to be short', () => {
  // Their answers stop in the middle, and they ask for the rest at once, which is the one return
  // they have. The group is back within two seconds of that: refused at once they would all be
  // lost, as many as the servers had in hand.
  expect(countLost(simulateSeeds(2500, { pastOutagesMilliseconds: [800, 1000] }))).toBe(0);
});

it('has callers in time again sooner than first come, first served', () => {
  // The streams that waited fill every slot, and whoever comes next waits behind them. The servers
  // do more than comes, so the queue shrinks slowly, and every caller is late until then.
  const before = simulateSeeds(4500, { callersPerSecond: 58, isFirstComeFirstServed: true });
  const after = simulateSeeds(4500, { callersPerSecond: 58 });
  expect(after.ends[CallerEnd.InTime]).toBeGreaterThan(1.4 * before.ends[CallerEnd.InTime]);
  expect(countLost(after)).toBeLessThanOrEqual(countLost(before));
});
