import { expect, it } from 'vitest';

import { FaultKind } from './plan-faults.js';
import { runSoak } from './run-soak.js';

const SERVERS = 7;

it('entries that are killed in series stay within the retry budget', async () => {
  // Guards against processes that begin with a full share of the budget.
  const faults = Array.from({ length: SERVERS }, (_, target) => ({
    kind: FaultKind.BadAnswers,
    at: 500,
    lasts: 11_000,
    target,
    share: 0.95,
  }));
  const result = await runSoak({
    seed: 1,
    milliseconds: 12_000,
    faults: [...faults, { kind: FaultKind.KillEntries, at: 2000, lasts: 9000, target: 0 }],
    entries: 7,
    callers: 25,
    network: 20,
  });
  expect(result.violations).toEqual([]);
  expect(result.served).toBeGreaterThan(0);
});
