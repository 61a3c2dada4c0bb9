import { expect, it } from 'vitest';

import { FaultKind } from './plan-faults.js';
import { runSoak } from './run-soak.js';

it('one entry serves most connections of the site while a balancer hands them to it', async () => {
  // Guards against shares of an entry that assume the same load at every other entry.
  const faults = [{ kind: FaultKind.HandOver, at: 5000, lasts: 9000, target: 2 }];
  const result = await runSoak({
    seed: 1,
    milliseconds: 14_000,
    faults,
    entries: 6,
    callers: 12,
    coldRequestsPerSecond: 12,
    network: 17,
  });
  expect(result.violations).toEqual([]);
  expect(result.served).toBeGreaterThan(0);
});
