import { describe, expect, it } from 'vitest';

import { FaultKind } from './plan-faults.js';
import { runSoak } from './run-soak.js';

/** Targets of the fault, which choose the request and when it ends its server. */
const CASES = [
  ['a stream, before its head', 0],
  ['a stream without prompt parts, after its head', 4],
  ['a look-up, before its head', 2],
  ['a stream, between its events', 6],
  ['a look-up, long after it began', 11],
  ['a stream without prompt parts, whose servers fall silent', 13],
  ['a look-up, whose servers fall silent', 14],
] as const;

describe('a request that ends every server which runs it', () => {
  it.each(CASES)('is kept from servers after the third end: %s', async (_what, target) => {
    // Guards against a caller whose retries end server after server.
    const faults = [{ kind: FaultKind.CrashingRequest, at: 1500, lasts: 7000, target }];
    const network = 40 + target;
    const result = await runSoak({ seed: 1, milliseconds: 9000, faults, network });
    expect(result.violations).toEqual([]);
    expect([...result.crashesByRequest.values()]).toEqual([expect.any(Number)]);
    expect(result.served).toBeGreaterThan(0);
  });
});
