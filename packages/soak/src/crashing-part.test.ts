import { describe, expect, it } from 'vitest';

import { FaultKind } from './plan-faults.js';
import { runSoak } from './run-soak.js';

describe('a prompt part that crashes every server that begins to answer it', () => {
  it.each([
    ['ranks of a group', 0, 14],
    ['plain servers', 1, 15],
  ])('is kept from %s, and sound requests are served beside it', async (_what, target, network) => {
    // Guards against requests of one kind that end one server after the other.
    const faults = [{ kind: FaultKind.CrashingPart, at: 3000, lasts: 24_000, target }];
    const result = await runSoak({ seed: 1, milliseconds: 27_000, faults, network });
    expect(result.violations).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  });
});

describe('servers that end one after the other without a crashing part', () => {
  it('lead to no blame of a prompt part', async () => {
    // Guards against refusing sound requests because of crashes that have another cause.
    const faults = Array.from({ length: 14 }, (_, index) => ({
      kind: FaultKind.EndServer,
      at: 1500 + 600 * index,
      lasts: 700 + 200 * (index % 3),
      target: index * 3,
    }));
    const result = await runSoak({ seed: 2, milliseconds: 12_000, faults, network: 16 });
    expect(result.violations).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  });
});
